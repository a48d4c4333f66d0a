package distribution

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"samphireferry.example/ferry/config/dynamic"
	"samphireferry.example/ferry/invariant"
)

// The invariants of a Holder.
const (
	// InvariantVersionRises states that an adopted version is higher than the
	// previous one.
	InvariantVersionRises invariant.Name = "config_version_rises"
	// InvariantVersionUnique states that a version has only one publish id.
	InvariantVersionUnique invariant.Name = "config_version_unique"
)

// Result is the outcome of offering a configuration to a Holder.
type Result string

// The results of Holder.Offer. Only Adopted changes the holder.
const (
	// Adopted is a configuration that is newer than the held one.
	Adopted Result = "adopted"
	// Same is the configuration that is already held.
	Same Result = "same"
	// Older is a configuration with a lower version.
	Older Result = "older"
	// Conflicting is a configuration with the version of the held one and
	// another publish id.
	Conflicting Result = "conflicting"
	// Invalid is a configuration that cannot be decoded or fails validation.
	Invalid Result = "invalid"
)

// Holder holds the newest configuration of an instance. It never reverts to a
// lower version.
type Holder struct {
	validate func(*dynamic.Config) error
	checker  *invariant.Checker
	current  *dynamic.Config
}

// NewHolder returns a holder without a configuration. A configuration for which
// validate returns an error is not adopted; a nil validate accepts all.
func NewHolder(validate func(*dynamic.Config) error, checker *invariant.Checker) *Holder {
	return &Holder{validate: validate, checker: checker}
}

// Current returns the held configuration, or nil. It must not be changed.
func (h *Holder) Current() *dynamic.Config { return h.current }

// Version returns the version of the held configuration, or 0.
func (h *Holder) Version() uint64 {
	if h.current == nil {
		return 0
	}
	return h.current.Version
}

// Offer decodes the stored form of a configuration and adopts it if it is newer
// than the held one. It returns an error if the result is Invalid or Conflicting.
func (h *Holder) Offer(stored []byte) (Result, error) {
	config, err := dynamic.Decode(stored)
	if err != nil {
		return Invalid, err
	}
	if config.Version <= h.Version() {
		return h.compare(config)
	}
	if h.validate != nil {
		if err := h.validate(config); err != nil {
			return Invalid, errors.Wrapf(err, "configuration version %d", config.Version)
		}
	}
	return h.adopt(config), nil
}

// compare classifies a configuration that is not newer than the held one.
func (h *Holder) compare(config *dynamic.Config) (Result, error) {
	if config.Version < h.current.Version {
		return Older, nil
	}
	same := config.PublishID == h.current.PublishID
	detail := fmt.Sprintf("version %d has publish ids %s and %s", config.Version, h.current.PublishID, config.PublishID)
	if !h.checker.Check(same, InvariantVersionUnique, detail) {
		return Conflicting, errors.New(detail)
	}
	return Same, nil
}

func (h *Holder) adopt(config *dynamic.Config) Result {
	before := h.Version()
	h.checker.Check(config.Version > before, InvariantVersionRises,
		fmt.Sprintf("version %d replaces %d", config.Version, before))
	h.current = config
	return Adopted
}
