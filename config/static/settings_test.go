package static

import (
	"flag"
	"io"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

// validArgs returns the smallest set of arguments that is accepted, and extra.
func validArgs(extra ...string) []string {
	return append([]string{
		"-region", "east", "-failure-domain", "east-1",
		"-listen", "127.0.0.1:8080", "-rpc-listen", "127.0.0.1:8081",
		"-platform", "http://127.0.0.1:7000",
	}, extra...)
}

func TestDefaults(t *testing.T) {
	s, err := Parse("ferry-entry", validArgs(), io.Discard)
	assert.NilError(t, err)
	assert.Equal(t, s.Name, "127.0.0.1:8080")
	assert.Equal(t, s.RPCAdvertise, "127.0.0.1:8081")
	assert.Equal(t, s.HeaderTimeout, 5*time.Second)
}

func TestEachInvalidSettingHasItsOwnError(t *testing.T) {
	cases := map[string]struct {
		args []string
		want string
	}{
		"no region":          {validArgs("-region", ""), "region: missing"},
		"no failure domain":  {validArgs("-failure-domain", ""), "failure-domain: missing"},
		"no listen":          {validArgs("-listen", ""), "listen: missing\nadvertise: missing"},
		"name for address":   {validArgs("-advertise", "host:80"), `advertise: "host:80" is not an IP address and port such as "10.0.0.1:8080"`},
		"same address":       {validArgs("-rpc-listen", "127.0.0.1:8080"), "listen and rpc-listen are the same address"},
		"no platform":        {validArgs("-platform", ""), "platform: missing, and no seeds are given"},
		"bad platform":       {validArgs("-platform", "ftp://x"), `platform: "ftp://x" is not an http or https URL`},
		"bad seed":           {validArgs("-seeds", "x"), `seeds: "x" is not an IP address and port such as "10.0.0.1:8080"`},
		"name":               {validArgs("-name", "a b"), `name: "a b" is not 1 to 64 letters, digits, colons, dots, hyphens or underscores`},
		"half of TLS":        {validArgs("-tls-cert", "x"), "tls-cert, tls-key and tls-ca: set all three or none"},
		"plain text":         {validArgs("-rpc-listen", "10.0.0.1:8081"), "rpc-listen: an address other than loopback needs tls-cert, tls-key and tls-ca, or allow-plaintext"},
		"level":              {validArgs("-log-level", "loud"), `log-level: unrecognized level: "loud"`},
		"range":              {validArgs("-max-connections", "0"), "max-connections: 0 is not between 1 and 1000000"},
		"duration range":     {validArgs("-list-ttl", "1ms"), "list-ttl: 1ms is not between 1s and 1m0s"},
		"number for size":    {validArgs("-max-header", "32"), `invalid value "32" for flag -max-header: "32" is not a size such as "64KiB"`},
		"number for time":    {validArgs("-body-timeout", "5"), `invalid value "5" for flag -body-timeout: parse error`},
		"unknown flag":       {validArgs("-no-such"), "flag provided but not defined: -no-such"},
		"left-over argument": {validArgs("extra"), `unexpected argument "extra"`},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := Parse("ferry-entry", c.args, io.Discard)
			assert.ErrorContains(t, err, c.want)
		})
	}
}

func TestFlagsAndEnvironmentOverrideFileWithComments(t *testing.T) {
	path := filepath.Join(t.TempDir(), "entry.jsonc")
	text := `{
		// where this instance runs
		"region": "west",
		"idle-timeout": "30s",
		"body-timeout": "7s",
		"seeds": ["127.0.0.1:1", "127.0.0.1:2"], // two of them
	}`
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	t.Setenv("FERRY_ENTRY_IDLE_TIMEOUT", "20s")
	t.Setenv("FERRY_ENTRY_REGION", "south")
	s, err := Parse("ferry-entry", validArgs("-config", path), io.Discard)
	assert.NilError(t, err)
	assert.Equal(t, s.Region, "east")
	assert.Equal(t, s.IdleTimeout, 20*time.Second)
	assert.Equal(t, s.BodyTimeout, 7*time.Second)
	assert.DeepEqual(t, s.Seeds, []string{"127.0.0.1:1", "127.0.0.1:2"})
}

func TestUnknownFieldInFileIsRejected(t *testing.T) {
	path := filepath.Join(t.TempDir(), "entry.jsonc")
	assert.NilError(t, os.WriteFile(path, []byte(`{"regoin": "west"}`), 0o600))
	_, err := Parse("ferry-entry", validArgs("-config", path), io.Discard)
	assert.ErrorContains(t, err, "regoin")
}

func TestHelpReturnsErrHelp(t *testing.T) {
	_, err := Parse("ferry-entry", []string{"-help"}, io.Discard)
	assert.Assert(t, errors.Is(err, flag.ErrHelp))
}
