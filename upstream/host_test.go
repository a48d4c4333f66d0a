package upstream

import (
	"testing"

	"gotest.tools/v3/assert"

	"samphireferry.example/ferry/routing"
)

// Guards against connections that are all opened again whenever an entry instance joins or
// leaves, which changes the part of the connections that each instance may use.
func TestAChangedPartOfTheConnectionsKeepsThemOpen(t *testing.T) {
	c := New(Options{})
	defer c.Close()
	target := routing.Upstream{Name: "i-1", Address: "127.0.0.1:1", Connections: 100, MaxConnections: 360}
	first := c.host(&target)
	target.Connections = 10
	assert.Assert(t, c.host(&target) == first)
	assert.Equal(t, first.transport.MaxConnsPerHost, 360)
	target.MaxConnections = 20
	assert.Assert(t, c.host(&target) != first, "the service has another limit")
	target.MaxConnections, target.Connections = 0, 5
	assert.Equal(t, c.host(&target).transport.MaxConnsPerHost, 5)
}
