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
	// Set is the whole of the objects.
	Set Set `json:"set"`
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
