package sharetable

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// churnedTable returns the table of a system in which every member has been
// replaced once, in batches of 1% and in random order, by one at another address.
func churnedTable(b *testing.B, members int) *Table {
	view := View{ListRead: true}
	for i := range 2 * members {
		view.Candidates = append(view.Candidates, Candidate{
			Name: fmt.Sprintf("10.%d.%d.%d:8080", i>>16, i>>8&255, i&255), Incarnation: fmt.Sprintf("%016x", i),
			WitnessGroup: fmt.Sprintf("domain-%d", i%83), Listed: true, Reachable: i < members,
		})
	}
	d := NewDriver(DriverSettings{})
	now := start
	step := func() {
		now = now.Add(time.Minute)
		d.SetMembers(now, view)
		for _, c := range view.Candidates {
			if d.table != nil && c.Reachable {
				d.Ack(now, MemberState{Name: c.Name, Incarnation: c.Incarnation, Applied: d.table.Version, AskedAt: now})
			}
		}
		if write, ok := d.Plan(now); ok {
			d.Done(write, d.revision+1, nil)
		}
	}
	step()
	rng := rand.New(rand.NewPCG(1, 1))
	order := rng.Perm(members)
	batch := max(1, members/100)
	for len(order) > 0 {
		for _, i := range order[:min(batch, len(order))] {
			view.Candidates[i].Leaving = true
			view.Candidates[members+i].Reachable = true
		}
		order = order[min(batch, len(order)):]
		for range 5 {
			step()
		}
	}
	return d.table
}

// BenchmarkTable measures encoding, decoding and dividing a table, and reports its
// size and the spread of its limits.
func BenchmarkTable(b *testing.B) {
	for _, members := range []int{10, 100, 1000, 4600} {
		t := churnedTable(b, members)
		intervals := 0
		smallest, largest := Whole, 0
		for _, e := range t.Members {
			intervals += len(e.Limit)
			smallest, largest = min(smallest, e.Limit.Size()), max(largest, e.Limit.Size())
		}
		data, _ := t.Encode()
		b.Run(fmt.Sprintf("encode/members=%d", members), func(b *testing.B) {
			for b.Loop() {
				_, _ = t.Encode()
			}
			b.ReportMetric(float64(len(data)), "bytes")
			b.ReportMetric(float64(intervals)/float64(len(t.Members)), "intervals/member")
			b.ReportMetric(float64(smallest*len(t.Members))/Whole, "smallest/equal")
			b.ReportMetric(float64(largest*len(t.Members))/Whole, "largest/equal")
		})
		b.Run(fmt.Sprintf("decode/members=%d", members), func(b *testing.B) {
			for b.Loop() {
				_, _ = Decode(data)
			}
		})
		for _, customers := range []int{8, 512} {
			b.Run(fmt.Sprintf("divide/members=%d/customers=%d", members, customers), func(b *testing.B) {
				list := make([]Customer, customers)
				for i := range list {
					list[i] = Customer{Name: fmt.Sprintf("customer %d", i), Rate: 100, Burst: 20 + 10*(i%64)}
				}
				limit := t.Members[t.Names()[0]].Limit
				for b.Loop() {
					Divide(limit, list, t)
				}
			})
		}
	}
}

// BenchmarkPlan measures one plan that adds a joining instance.
func BenchmarkPlan(b *testing.B) {
	for _, members := range []int{10, 100, 1000, 4600} {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			t := churnedTable(b, members)
			view := View{ListRead: true}
			for _, name := range t.Names() {
				e := t.Members[name]
				view.Candidates = append(view.Candidates, Candidate{Name: name, Incarnation: e.Incarnation, WitnessGroup: e.WitnessGroup, Listed: true, Reachable: true})
			}
			view.Candidates = append(view.Candidates, Candidate{Name: "new", Incarnation: "n", WitnessGroup: "g", Listed: true, Reachable: true})
			d := NewDriver(DriverSettings{})
			d.table, d.revision = t, 1
			d.SetMembers(start, view)
			for b.Loop() {
				d.nextPlan = time.Time{}
				d.Plan(start)
			}
		})
	}
}
