package membership

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"samphireferry.example/ferry/platform"
	"samphireferry.example/ferry/rpc/entrypb"
)

// benchState returns the state of instance n of the domain, with upstreams of
// three services in two versions each.
func benchState(domain, n int) *entrypb.State {
	state := &entrypb.State{
		Identity: identity(fmt.Sprintf("entry-%d-%d", domain, n), fmt.Sprintf("entry-%d-%d_3w5e11264sgsf", domain, n),
			fmt.Sprintf("10.%d.%d.1", domain, n), fmt.Sprintf("region-%d-%d", domain/3, domain), fmt.Sprintf("region-%d", domain/3)),
		ConfigVersion: 123456,
		ShareVersion:  4567,
		LoadPermille:  512,
	}
	for _, service := range []string{"lookup", "filing-ledger", "archive"} {
		for _, version := range []string{"2026-11-1", "2026-12-1"} {
			state.Loads = append(state.Loads, &entrypb.ServiceLoad{Service: service, Version: version, Slots: 18, InUse: 7, Granted: 3})
		}
	}
	return state
}

// benchRegistry returns a registry that has received a heartbeat from each
// instance, and the states in them. 4,600 instances are in 83 domains; fewer
// instances are in proportionally fewer domains, but in at least 6 unless there
// are fewer instances than that.
func benchRegistry(instances int) (*Registry, []*entrypb.State) {
	domains := min(max(instances*83/4600, 6), instances)
	r := NewRegistry(Config{Self: identity("self", "self_1", "10.255.0.1", "region-0-0", "region-0")}, epoch)
	var states []*entrypb.State
	for i := range instances {
		state := benchState(i%domains, i/domains)
		states = append(states, state)
		r.HandleHeartbeat(state, epoch)
	}
	return r, states
}

var benchSizes = []int{10, 100, 1000, 4600}

// BenchmarkHeartbeat measures the handling of one received heartbeat. It also
// reports the size of a state and the bytes of heartbeats sent per second.
func BenchmarkHeartbeat(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			r, states := benchRegistry(size)
			r.Due(epoch)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				r.HandleHeartbeat(states[i%len(states)], epoch)
			}
			exchanges := 0.0
			for _, m := range r.contacts {
				exchanges += 1 / float64(m.exchangeFactor)
			}
			b.ReportMetric(float64(proto.Size(states[0])), "bytes/state")
			b.ReportMetric(float64(len(r.contacts)), "contacts")
			b.ReportMetric(exchanges/r.Interval().Seconds()*r.avgStateBytes, "bytes/s")
		})
	}
}

// BenchmarkSnapshot measures a snapshot after one heartbeat.
func BenchmarkSnapshot(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			r, states := benchRegistry(size)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now := epoch.Add(time.Duration(i) * time.Microsecond)
				r.HandleHeartbeat(states[i%len(states)], now)
				r.Snapshot(now)
			}
		})
	}
}

// BenchmarkChooseContacts measures the choice of contacts after a membership
// change.
func BenchmarkChooseContacts(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			r, _ := benchRegistry(size)
			for b.Loop() {
				r.contactsDirty = true
				r.chooseContacts(epoch)
			}
		})
	}
}

// BenchmarkInstanceList measures decoding the platform's instance list and
// applying it to the registry. It also reports the size of the list.
func BenchmarkInstanceList(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			r, states := benchRegistry(size)
			var list []platform.Instance
			for _, state := range states {
				id := state.GetIdentity()
				list = append(list, platform.Instance{
					Name: id.GetName(), Role: RoleEntry, Address: id.GetAddress(), RPCAddress: id.GetRpcAddress(),
					FailureDomain: id.GetFailureDomain(), State: platform.InstanceLive,
				})
			}
			data, err := json.Marshal(list)
			assert.NilError(b, err)
			b.ReportAllocs()
			for b.Loop() {
				var read []platform.Instance
				assert.NilError(b, json.Unmarshal(data, &read))
				r.SetInstances(read, epoch)
			}
			b.ReportMetric(float64(len(data)), "bytes")
		})
	}
}

// BenchmarkEvidence measures encoding a heartbeat that carries the evidence of
// several roll-outs, each with two versions on three routes. It also reports
// the size of the heartbeat and the interval that ByteBudget allows for it at
// 4,600 instances.
func BenchmarkEvidence(b *testing.B) {
	for _, rollouts := range []int{0, 1, 10, 100} {
		b.Run(fmt.Sprintf("rollouts=%d", rollouts), func(b *testing.B) {
			r, _ := benchRegistry(4600)
			r.chooseContacts(epoch)
			state := benchState(0, 0)
			for i := range 6 * rollouts {
				evidence := &entrypb.VersionEvidence{
					Rollout: fmt.Sprintf("rollout-%d", i/6), Route: fmt.Sprintf("route-%d", i%3), Version: "2026-12-1",
					Requests: 100_000, Failures: 100, ConfigVersion: 123456, LatencyBuckets: make([]uint64, 16),
				}
				for bucket := range evidence.LatencyBuckets {
					evidence.LatencyBuckets[bucket] = 5000
				}
				state.Evidence = append(state.Evidence, evidence)
			}
			for b.Loop() {
				_, err := proto.Marshal(state)
				assert.NilError(b, err)
			}
			r.avgStateBytes = float64(stateSize(state))
			b.ReportMetric(float64(proto.Size(state)), "bytes/state")
			b.ReportMetric(r.Interval().Seconds(), "s/interval")
		})
	}
}
