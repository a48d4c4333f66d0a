package distribution

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"samphireferry.example/ferry/config/dynamic"
	"samphireferry.example/ferry/invariant"
)

// The invariants of a Holder.
const (
	// InvariantVersionRises says that an adopted version is above the last one.
	InvariantVersionRises invariant.Name = "config_version_rises"
	// InvariantVersionUnique says that a version has one publish id.
	InvariantVersionUnique invariant.Name = "config_version_unique"
)

// Result says what became of an offered configuration.
type Result string

// The results of Holder.Offer. Only Adopted changes the holder.
const (
	// Adopted is a configuration that is newer than the held one.
	Adopted Result = "adopted"
	// Same is the configuration that is held already.
	Same Result = "same"
	// Older is a configuration with a lower version.
	Older Result = "older"
	// Conflicting has the version of the held one and another publish id.
	Conflicting Result = "conflicting"
	// Invalid cannot be decoded or did not pass the validation.
	Invalid Result = "invalid"
)

// Holder holds the newest configuration of an instance. It never goes back to
// a lower version.
type Holder struct {
	validate func(*dynamic.Config) error
	checker  *invariant.Checker
	current  *dynamic.Config
}

// NewHolder returns a holder without configuration. A configuration for which
// validate returns an error is not adopted; nil accepts all.
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

// Offer adopts the stored form of a configuration if it is newer than the held
// one. The error says why a configuration is invalid or conflicting.
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

// compare judges a configuration that is not newer.
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
