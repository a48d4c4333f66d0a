package dynamic

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// largeSet returns a set with n customers, each with a key and a route.
func largeSet(n int) *Set {
	set := &Set{Services: []Service{{Name: "lookup"}}}
	for i := range n {
		name := fmt.Sprintf("customer-%d", i)
		set.Customers = append(set.Customers, Customer{Name: name, Rate: 100, Burst: 10})
		set.Keys = append(set.Keys, Key{Name: name, Customer: name, SHA256: fmt.Sprintf("%064x", i)})
		set.Routes = append(set.Routes, Route{Name: name, Service: "lookup", PathPrefix: "/" + name, Kind: Idempotent})
	}
	return set
}

func BenchmarkCheck(b *testing.B) {
	for _, n := range []int{8, 512, 4096} {
		set := largeSet(n)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				Check(set)
			}
		})
	}
}

func BenchmarkDecode(b *testing.B) {
	for _, n := range []int{8, 512, 4096} {
		stored, err := (&Config{Version: 1, Set: *largeSet(n)}).Encode()
		assert.NilError(b, err)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportMetric(float64(len(stored)), "bytes")
			for b.Loop() {
				if _, err := Decode(stored); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
