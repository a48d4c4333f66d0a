package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphireferry.example/ferry/registry"
)

// TestConnectionLimitFollowsTheSettings guards against the limit of the time at which an
// upstream was first seen, when few instances were known.
func TestConnectionLimitFollowsTheSettings(t *testing.T) {
	p := NewPool(Location{FailureDomain: "east-1", Region: "east"})
	entries := []*registry.Upstream{{Entry: registry.Entry{ID: "i-1", Service: "lookup", Address: "127.0.0.1:1", FailureDomain: "east-1", Slots: 4}}}
	settings := Settings{Regions: map[string]string{"east-1": "east"}, Connections: map[string]int{"lookup": 100}}
	p.Configure(settings)
	p.Update(entries, nil)
	settings.Connections = map[string]int{"lookup": 1}
	p.Configure(settings)
	lease, refusal := p.Acquire(time.Now(), Query{Service: "lookup"})
	assert.Equal(t, refusal, Chosen)
	assert.Equal(t, lease.Upstream.Connections, 1)
}
