package routing

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"samphireferry.example/ferry/config/dynamic"
)

// benchSet returns a set with n customers, each with a key and a route, and n
// upstreams.
func benchSet(n int) dynamic.Set {
	set := dynamic.Set{
		Services: []dynamic.Service{{Name: "lookup"}},
		Versions: []dynamic.Version{{Name: "v1", Service: "lookup"}},
	}
	for i := range n {
		name := fmt.Sprintf("customer-%d", i)
		set.Customers = append(set.Customers, dynamic.Customer{Name: name, Rate: 100, Burst: 10})
		set.Keys = append(set.Keys, dynamic.Key{Name: name, Customer: name, SHA256: fmt.Sprintf("%064x", i)})
		set.Routes = append(set.Routes, dynamic.Route{Name: name, Service: "lookup", PathPrefix: "/" + name, Kind: dynamic.Idempotent})
		set.Upstreams = append(set.Upstreams, dynamic.Upstream{
			Name: fmt.Sprintf("u-%d", i), Service: "lookup", Version: "v1", FailureDomain: fmt.Sprint("d", i%83), Address: "10.0.0.1:80", Slots: 6,
		})
	}
	return set
}

var benchSizes = []int{8, 512, 4096}

func BenchmarkCompile(b *testing.B) {
	for _, n := range benchSizes {
		config := &dynamic.Config{Version: 1, Set: benchSet(n)}
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				_, err := Compile(config)
				assert.NilError(b, err)
			}
		})
	}
}

// BenchmarkMatch measures matching a request against a table with n routes. The
// matching route has one of the shortest prefixes, which are compared last.
func BenchmarkMatch(b *testing.B) {
	for _, n := range benchSizes {
		table, err := Compile(&dynamic.Config{Version: 1, Set: benchSet(n)})
		assert.NilError(b, err)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, ok := table.Match("example:80", "/customer-0/1", "GET"); !ok {
					b.Fatal("no route")
				}
			}
		})
	}
}
