package balancing

import (
	"context"
	"fmt"
	"testing"
	"time"

	"samphireferry.example/ferry/routing"
)

func BenchmarkAcquireRelease(b *testing.B) {
	for _, n := range []int{2, 12} {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			p := NewPool(PoolOptions{})
			slots := make([]int, n)
			for i := range slots {
				slots[i] = 6
			}
			p.Update(upstreams(slots...))
			ctx := context.Background()
			t := Ticket{Customer: "a"}
			b.ReportAllocs()
			for b.Loop() {
				l, err := p.Acquire(ctx, t)
				if err != nil {
					b.Fatal(err)
				}
				l.Release(ResultOK)
			}
		})
	}
}

func BenchmarkAcquireReleaseParallel(b *testing.B) {
	p := NewPool(PoolOptions{})
	p.Update(upstreams(9, 9, 9, 9, 9, 9, 9, 9, 9, 9, 9, 9))
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			l, err := p.Acquire(context.Background(), Ticket{Customer: "a"})
			if err == nil {
				l.Release(ResultOK)
			}
		}
	})
}

func BenchmarkOrder(b *testing.B) {
	now := time.Unix(1000, 0)
	c := NewChooser(ChooserOptions{Self: Instance{"self", "r1-a", "r1"}})
	var loads []OwnerLoad
	for i := range 1000 {
		loads = append(loads, ownerLoad(fmt.Sprintf("e%d", i), fmt.Sprintf("r%d-a", i%26), 6, 2, 2, now))
	}
	c.Update(loads)
	b.ReportAllocs()
	for b.Loop() {
		c.Order(now, PoolLoad{Slots: 4, InUse: 4}, false)
	}
}

func BenchmarkOwner(b *testing.B) {
	var instances []Instance
	for i := range 4600 {
		instances = append(instances, Instance{fmt.Sprintf("e%d", i), fmt.Sprintf("d%d", i%83), "r"})
	}
	u := upstreams(1)[0]
	u.FailureDomain = "d1"
	for b.Loop() {
		Owner(u, instances)
	}
}

// BenchmarkOwned measures the assignment of 1,100 upstreams to the instances, which each
// instance computes after a change of membership.
func BenchmarkOwned(b *testing.B) {
	var list []*routing.Upstream
	for i := range 1100 {
		list = append(list, &routing.Upstream{Name: fmt.Sprintf("u%d", i), FailureDomain: fmt.Sprintf("d%d", i%83)})
	}
	for _, n := range []int{10, 100, 1000, 4600} {
		var instances []Instance
		for i := range n {
			instances = append(instances, Instance{fmt.Sprintf("e%d", i), fmt.Sprintf("d%d", i%83), "r"})
		}
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
			for b.Loop() {
				Owned("e1", list, instances)
			}
		})
	}
}

// BenchmarkChooserUpdate measures an update with the loads of all owners of one service
// version.
func BenchmarkChooserUpdate(b *testing.B) {
	now := time.Unix(1000, 0)
	for _, n := range []int{10, 100, 1000, 4600} {
		c := NewChooser(ChooserOptions{Self: Instance{"self", "d1", "r1"}})
		var loads []OwnerLoad
		for i := range n {
			loads = append(loads, ownerLoad(fmt.Sprintf("e%d", i), fmt.Sprintf("r%d-a", i%26), 6, 2, 2, now))
		}
		b.Run(fmt.Sprintf("owners=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				c.Update(loads)
			}
		})
	}
}
