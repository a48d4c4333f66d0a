package throttle

import (
	"fmt"
	"testing"
)

// BenchmarkChooseAllocator measures one choice among the 56 instances of a failure domain, in
// a fleet of 4,600 in 83 domains.
func BenchmarkChooseAllocator(b *testing.B) {
	const inDomain = 56
	domain := make(instances, inDomain)
	for n := range domain {
		domain[n] = Instance{Name: fmt.Sprint("e", n), Address: "10.0.0.1:80", FailureDomain: "d1", Region: "r1", Usable: true, MayRun: true}
	}
	self := Instance{Name: "self", FailureDomain: "d80", Region: "r2", Usable: true}
	others := oneDomain{domain}
	for b.Loop() {
		ChooseAllocator("u", "d1", "r1", self, true, others)
	}
}

// oneDomain returns the instances of one failure domain, whatever its name.
type oneDomain struct{ instances }

// InDomain implements Others.
func (o oneDomain) InDomain(string) []Instance { return o.instances }

func BenchmarkTake(b *testing.B) {
	t := New()
	t.Observe(at(0), at(0), "u", true, 1e9)
	t.Assign(at(0), func(string) Allocator { return Allocator{Self: true, Fraction: 1} })
	for b.Loop() {
		t.Take(at(0.5), "u")
	}
}
