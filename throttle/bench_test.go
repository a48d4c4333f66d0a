package throttle

import (
	"fmt"
	"testing"
)

// BenchmarkChooseAllocator measures one choice among 4,600 instances in 83 failure domains.
func BenchmarkChooseAllocator(b *testing.B) {
	const instances, domains, regions = 4600, 83, 26
	var others []Instance
	for n := range instances {
		others = append(others, Instance{
			Name: fmt.Sprint("e", n), Address: "10.0.0.1:80", Usable: true, MayRun: true,
			FailureDomain: fmt.Sprint("d", n%domains), Region: fmt.Sprint("r", n%domains%regions),
		})
	}
	self := Instance{Name: "self", FailureDomain: "d80", Region: "r2", Usable: true}
	for b.Loop() {
		ChooseAllocator("u", "d1", "r1", self, true, others)
	}
}

func BenchmarkTake(b *testing.B) {
	t := New()
	t.Observe(at(0), at(0), "u", true, 1e9)
	t.Assign(at(0), func(string) Allocator { return Allocator{Self: true, Fraction: 1} })
	for b.Loop() {
		t.Take(at(0.5), "u")
	}
}
