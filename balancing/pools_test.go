package balancing

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"samphireferry.example/ferry/config/dynamic"
	"samphireferry.example/ferry/routing"
)

func compile(t *testing.T, version uint64, addresses map[string]string) *routing.Table {
	set := dynamic.Set{Services: []dynamic.Service{{Name: "lookup"}}}
	for name, address := range addresses {
		set.Upstreams = append(set.Upstreams, dynamic.Upstream{Name: name, Service: "lookup", Version: "v1", Address: address, Slots: 9})
	}
	table, err := routing.Compile(&dynamic.Config{Version: version, Set: set})
	assert.NilError(t, err)
	return table
}

// TestPoolsRampUpstreams covers upstreams that are new, newly owned, restarted, leaving or
// have a new address.
func TestPoolsRampUpstreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := NewPools(PoolOptions{Checker: failOnViolation(t)})
		slots := func() int { return p.Get(spillKey).Pool.Load().Slots }
		first := compile(t, 1, map[string]string{"a": "10.0.0.1:80"})
		owned := func(table *routing.Table) []*routing.Upstream { return table.Services[0].Upstreams }

		p.Update(first, owned(first))
		assert.Equal(t, slots(), 1, "a newly owned upstream")
		time.Sleep(adoptionRamp)
		assert.Equal(t, slots(), 9)
		p.Update(first, owned(first))
		assert.Equal(t, slots(), 9, "nothing has changed")

		p.Update(first, nil)
		p.SetLeaving(map[string]bool{"a": true})
		p.Update(first, owned(first))
		time.Sleep(adoptionRamp)
		assert.Equal(t, slots(), 0, "listed as leaving while another instance owned it")
		p.SetLeaving(nil)
		assert.Equal(t, slots(), 9)

		moved := compile(t, 2, map[string]string{"a": "10.0.0.2:80", "b": "10.0.0.3:80"})
		p.Update(moved, owned(moved))
		time.Sleep(adoptionRamp)
		assert.Equal(t, slots(), 2, "one upstream with a new address and one new upstream")
		time.Sleep(defaultRamp - adoptionRamp)
		assert.Equal(t, slots(), 18)

		cold := ProbeResult{Upstream: "b", Healthy: true, Cold: true, Load: -1, At: time.Now()}
		p.Observe(cold)
		assert.Equal(t, slots(), 10, "a restarted upstream")
		time.Sleep(defaultRamp)
		p.Observe(cold)
		assert.Equal(t, slots(), 18, "an upstream that keeps reporting that it is cold")
	})
}
