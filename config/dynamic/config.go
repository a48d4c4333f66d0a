package dynamic

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// Config is a published Set. It is the value of one key in the platform's
// store and never changes once published.
type Config struct {
	// Version numbers the published configurations; it only rises.
	Version uint64 `json:"version"`
	// PublishID identifies one publish, so that a publish whose answer was
	// lost can be recognised when it is read back.
	PublishID string `json:"publish_id"`
	// History holds the publishes before this one, newest first, up to
	// MaxHistory of them. It tells whether a publish took effect that others
	// have since replaced.
	History []Publish `json:"history,omitempty"`
	// Set is the whole of the objects.
	Set Set `json:"set"`
}

// Publish is one publish of the past.
type Publish struct {
	Version   uint64 `json:"version"`
	PublishID string `json:"publish_id"`
}

// MaxHistory is the number of earlier publishes that a Config remembers.
const MaxHistory = 32

// Next returns the configuration that replaces this one. A nil receiver stands
// for no configuration.
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

// PublishedBy returns the publish id of the version, as far as this
// configuration remembers it.
func (c *Config) PublishedBy(version uint64) (string, bool) {
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

// Clone returns a copy that shares nothing with the set. The copy of nil is
// empty.
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

// Decode reads the stored form of a configuration and checks it.
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
