package dynamic

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// Config is a published Set. It is the value of one key in the platform's
// store and never changes once published.
type Config struct {
	// Version numbers the published configurations; it only increases.
	Version uint64 `json:"version"`
	// PublishID identifies one publish, so that a publish whose response was lost
	// can be recognised when the configuration is read back.
	PublishID string `json:"publish_id"`
	// History holds the publishes before this one, newest first, up to MaxHistory
	// of them. It shows whether a publish took effect before others replaced it.
	History []Publish `json:"history,omitempty"`
	// Set holds all objects.
	Set Set `json:"set"`
}

// Publish is one earlier publish.
type Publish struct {
	Version   uint64 `json:"version"`
	PublishID string `json:"publish_id"`
}

// MaxHistory is the number of earlier publishes that a Config records.
const MaxHistory = 32

// Next returns the configuration that replaces this one, with the next version
// number. A nil receiver means that there is no configuration yet.
func (c *Config) Next(set *Set, publishID string) *Config {
	next := &Config{Version: 1, PublishID: publishID, Set: *set}
	if c == nil {
		return next
	}
	next.Version = c.Version + 1
	next.History = append([]Publish{{Version: c.Version, PublishID: c.PublishID}}, c.History...)
	next.History = next.History[:min(len(next.History), MaxHistory)]
	return next
}

// PublishIDOf returns the publish id of the version. It returns false when this
// configuration and its history do not have the version.
func (c *Config) PublishIDOf(version uint64) (string, bool) {
	if version == c.Version {
		return c.PublishID, true
	}
	for _, p := range c.History {
		if p.Version == version {
			return p.PublishID, true
		}
	}
	return "", false
}

// Clone returns a deep copy of the set. The copy of nil is empty.
func (s *Set) Clone() (*Set, error) {
	copied := &Set{}
	if s == nil {
		return copied, nil
	}
	data, err := json.Marshal(s)
	if err != nil {
		return nil, err
	}
	return copied, json.Unmarshal(data, copied)
}

// Encode returns the stored form of the configuration.
func (c *Config) Encode() ([]byte, error) { return json.Marshal(c) }

// Decode decodes the stored form of a configuration. It returns an error when the
// configuration has no version, and does not Check the set.
func Decode(data []byte) (*Config, error) {
	var c Config
	if err := json.Unmarshal(data, &c); err != nil {
		return nil, errors.Wrap(err, "stored configuration")
	}
	if c.Version == 0 {
		return nil, errors.New("stored configuration has no version")
	}
	return &c, nil
}
