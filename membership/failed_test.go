package membership

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphireferry.example/ferry/platform"
)

// TestLongPartitionKeepsHeartbeatInterval cuts the local region off for an hour
// and then restores the network. The interval must not more than double during
// the partition, heartbeats must stay within twice ByteBudget afterwards, and no
// instance may stay Silent.
func TestLongPartitionKeepsHeartbeatInterval(t *testing.T) {
	for _, size := range []int{100, 1000} {
		r, states := benchRegistry(size)
		byAddress := map[string]int{}
		var list []platform.Instance
		for i, state := range states {
			id := state.GetIdentity()
			byAddress[id.GetRpcAddress()] = i
			list = append(list, platform.Instance{Name: id.GetName(), Role: RoleEntry, RPCAddress: id.GetRpcAddress(), FailureDomain: id.GetFailureDomain()})
		}
		r.SetInstances(list, epoch)
		now := epoch
		// run returns the highest rate of heartbeat bytes per second, averaged
		// over windows of 10 seconds.
		run := func(duration time.Duration, partitioned bool) float64 {
			const step, window = 250 * time.Millisecond, 10 * time.Second
			maxRate, sent, since := 0.0, 0.0, now
			for end := now.Add(duration); now.Before(end); {
				now = now.Add(step)
				for _, target := range r.Due(now) {
					state := states[byAddress[target.RPCAddress]]
					sent += float64(stateSize(state))
					if partitioned && state.GetIdentity().GetRegion() != "region-0" {
						r.HandleFailure(target.RPCAddress, now)
						continue
					}
					r.HandleResponse(target.RPCAddress, state, now)
				}
				if now.Sub(since) >= window {
					maxRate, sent, since = max(maxRate, sent/now.Sub(since).Seconds()), 0, now
				}
			}
			return maxRate
		}
		run(10*time.Minute, false)
		before := r.Interval()
		run(time.Hour, true)
		during := r.Interval()
		bytes := run(RotatePeriod+RetryPeriod, false)
		silent := 0
		for _, p := range r.Snapshot(now).All {
			if p.Health == Silent {
				silent++
			}
		}
		t.Logf("%d instances: interval %s, cut off %s; back at %.0f bytes/s, %d silent", size, before, during, bytes, silent)
		assert.Assert(t, during <= 2*before)
		assert.Assert(t, bytes <= 2*ByteBudget)
		assert.Equal(t, silent, 0)
	}
}
