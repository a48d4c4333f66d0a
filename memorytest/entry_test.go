package memorytest

import (
	"encoding/hex"
	"fmt"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"

	"samphireferry.example/ferry/config/dynamic"
	"samphireferry.example/ferry/platform"
	"samphireferry.example/ferry/routing"
)

// startEntry starts a ferry-entry with the limits of the tests and waits until it serves.
func startEntry(t *testing.T) *instance {
	t.Helper()
	store, url := newStore(t)
	const rate = 100_000
	hash := routing.HashKey(key)
	config := &dynamic.Config{Version: 1, PublishID: "test", Set: dynamic.Set{
		Regions:        []dynamic.Region{{Name: "east"}},
		FailureDomains: []dynamic.FailureDomain{{Name: "east-1", Region: "east"}},
		Customers:      []dynamic.Customer{{Name: "a", Rate: rate, Burst: rate}},
		Keys:           []dynamic.Key{{Name: "a-1", Customer: "a", SHA256: hex.EncodeToString(hash[:])}},
		Services:       []dynamic.Service{{Name: "lookup"}},
		Versions:       []dynamic.Version{{Name: "v1", Service: "lookup"}},
		Routes:         []dynamic.Route{{Name: "read", Service: "lookup", PathPrefix: "/read", Kind: dynamic.Idempotent}},
		Upstreams:      []dynamic.Upstream{{Name: "u-1", Service: "lookup", Version: "v1", FailureDomain: "east-1", Address: newUpstream(t), Slots: 2 * crowdClients}},
	}}
	data, err := config.Encode()
	assert.NilError(t, err)
	_, err = store.CompareAndSwap(t.Context(), platform.KeyConfig, data, 0, 0)
	assert.NilError(t, err)
	i := &instance{callers: freeAddress(t), metrics: freeAddress(t), rpc: freeAddress(t)}
	i.start(t, "ferry-entry", "-name", "entry-1", "-region", "east", "-failure-domain", "east-1",
		"-listen", i.callers, "-rpc-listen", i.rpc, "-operator-listen", i.metrics, "-platform", url,
		"-memory", fmt.Sprintf("%dMiB", machineMemory>>20), "-max-header", fmt.Sprintf("%dKiB", headerBytes>>10),
		"-max-connections", strconv.Itoa(maxConnections))
	return i
}

// Guards against a ferry-entry that runs out of the memory of its machine since many clients make it hold
// heads, bodies, trailers or responses at once.
func TestCallersOfAnEntryInstance(t *testing.T) {
	for name, c := range callerCrowds() {
		t.Run(name, func(t *testing.T) {
			i := startEntry(t)
			c.address = i.callers
			i.withstands(t, &c)
		})
	}
}

// Guards against a process that runs out of memory since clients reach the listener of its operator or of
// its peers.
func TestOtherListenersOfAnEntryInstance(t *testing.T) {
	for name, c := range otherCrowds() {
		t.Run("operator, "+name, func(t *testing.T) {
			i := startEntry(t)
			c.address = i.metrics
			i.withstands(t, &c)
		})
	}
	for name, c := range rpcCrowds() {
		t.Run("rpc, "+name, func(t *testing.T) {
			i := startEntry(t)
			c.address = i.rpc
			i.withstands(t, &c)
		})
	}
}
