package entryinstance

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"samphireferry.example/ferry/rpc/entrypb"
)

// BenchmarkHeartbeatCall measures one heartbeat over loopback, client and server
// together, with and without TLS.
func BenchmarkHeartbeatCall(b *testing.B) {
	certificate := newAuthority(b).issue(b, PeerName)
	for name, config := range map[string]Config{"plain": {}, "TLS": {TLS: certificate}} {
		b.Run(name, func(b *testing.B) {
			client, err := newTestPool(b, config).Client(startServer(b, config, &fakeEntry{}))
			assert.NilError(b, err)
			state := &entrypb.State{Identity: &entrypb.Identity{Name: "a"}}
			b.ReportAllocs()
			for b.Loop() {
				_, err := client.Heartbeat(context.Background(), state)
				assert.NilError(b, err)
			}
		})
	}
}
