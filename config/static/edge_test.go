package static

import (
	"io"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var edgeArgs = []string{
	"-name", "e1", "-region", "east", "-failure-domain", "east-1", "-domain", "east-1=east", "-domain", "west-1=west",
	"-listen", "10.0.0.1:80", "-directory-listen", "10.0.0.1:81", "-ready-listen", "10.0.0.1:82", "-rpc-listen", "10.0.0.1:83",
	"-platform", "http://10.0.0.9:7000",
}

func TestEdgeSettings(t *testing.T) {
	s, err := ParseEdge("ferry-edge", edgeArgs, io.Discard)
	assert.NilError(t, err)
	assert.DeepEqual(t, s.Domains, map[string]string{"east-1": "east", "west-1": "west"})
	assert.Equal(t, s.Grace, 6*time.Second)
	assert.Assert(t, !s.StableAssignment, "earlier deployments keep their order")
}

func TestEdgeSettingsFromFile(t *testing.T) {
	file := filepath.Join(t.TempDir(), "edge.json")
	assert.NilError(t, os.WriteFile(file, []byte(`{
 "name": "e1", "region": "east", "failure-domain": "east-1", "domain": ["east-1=east"], // places
 "listen": "10.0.0.1:80", "directory-listen": "10.0.0.1:81", "ready-listen": "10.0.0.1:82", "rpc-listen": "10.0.0.1:83",
 "platform": "http://10.0.0.9:7000", "grace": "7s", "stable-assignment": true, "retry-ratio": 0.2, "rate-window": "5s",
}`), 0o600))
	s, err := ParseEdge("ferry-edge", []string{"-config", file}, io.Discard)
	assert.NilError(t, err)
	assert.Equal(t, s.Grace, 7*time.Second)
	assert.Assert(t, s.StableAssignment)
	assert.Equal(t, s.RetryRatio, 0.2)
}

func TestInvalidEdgeSettings(t *testing.T) {
	for name, extra := range map[string][]string{
		"name: missing":         {"-name", ""},
		"failure-domain":        {"-failure-domain", "north-1"},
		"not of the form":       {"-domain", "east"},
		"listen":                {"-listen", "host:80"},
		"platform":              {"-platform", "10.0.0.9:7000"},
		"grace":                 {"-grace", "1ms"},
		"rate-window":           {"-rate-window", "0s"},
		"canary-share":          {"-canary-share", "2"},
		"retry-ratio":           {"-retry-ratio", "-1"},
		"rate-excess":           {"-rate-excess", "NaN"},
		"rate-slack":            {"-rate-slack", "-5"},
		"canary-slack":          {"-canary-slack", "-1"},
		"log-level":             {"-log-level", "loud"},
		"not defined":           {"-nmae", "x"},
		"unexpected argument":   {"more"},
		"heartbeat-interval: 1": {"-heartbeat-interval", "1h"},
		"memory: 1048576":       {"-memory", "1MiB"},
		"size such as":          {"-memory", "184"},
	} {
		_, err := ParseEdge("ferry-edge", append(append([]string{}, edgeArgs...), extra...), io.Discard)
		assert.ErrorContains(t, err, name)
	}
}
