package daemon

import (
	"encoding/hex"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphireferry.example/ferry/balancing"
	"samphireferry.example/ferry/config/dynamic"
	"samphireferry.example/ferry/dispatch"
	"samphireferry.example/ferry/membership"
	"samphireferry.example/ferry/routing"
	"samphireferry.example/ferry/sharetable"

	"samphireferry.example/ferry/admission"
)

// benchSet returns a configuration with the given number of customers, each with a
// key, and three services with 12 upstreams each.
func benchSet(customers int) dynamic.Set {
	set := dynamic.Set{
		Regions:        []dynamic.Region{{Name: "east"}},
		FailureDomains: []dynamic.FailureDomain{{Name: "east-1", Region: "east"}},
	}
	for i := range customers {
		name := fmt.Sprintf("customer-%04d", i)
		hash := routing.HashKey("key-" + name)
		set.Customers = append(set.Customers, dynamic.Customer{Name: name, Rate: 1e9, Burst: 1e9})
		set.Keys = append(set.Keys, dynamic.Key{Name: name, Customer: name, SHA256: hex.EncodeToString(hash[:])})
	}
	for _, service := range []string{"lookup", "ledger", "archive"} {
		set.Services = append(set.Services, dynamic.Service{Name: service})
		set.Versions = append(set.Versions, dynamic.Version{Name: "v1", Service: service})
		set.Routes = append(set.Routes, dynamic.Route{Name: service, Service: service, PathPrefix: "/" + service, Kind: dynamic.Idempotent})
		for n := range 12 {
			set.Upstreams = append(set.Upstreams, dynamic.Upstream{
				Name: fmt.Sprintf("%s-%02d", service, n), Service: service, Version: "v1",
				FailureDomain: "east-1", Address: "127.0.0.1:1", Slots: 9,
			})
		}
	}
	return set
}

// BenchmarkDecision measures one complete routing decision without I/O: route, key,
// admission, choice of targets, and one slot of an upstream.
func BenchmarkDecision(b *testing.B) {
	for _, customers := range []int{8, 512, 4096} {
		b.Run(fmt.Sprintf("customers=%d", customers), func(b *testing.B) { benchmarkDecision(b, customers) })
	}
}

func benchmarkDecision(b *testing.B, customers int) {
	table, err := routing.Compile(&dynamic.Config{Version: 1, Set: benchSet(customers)})
	assert.NilError(b, err)
	limiter := admission.NewLimiter(admission.Settings{MaxPause: time.Hour}, time.Now())
	limiter.Tick(time.Now())
	limiter.Configure(time.Now(), sharetable.Divide(sharetable.All(), customersOf(table), nil), true)
	service := table.Service("lookup")
	key := balancing.VersionKey{Service: "lookup", Version: "v1"}
	pools := balancing.NewPools(balancing.PoolOptions{Ramp: time.Nanosecond})
	pools.Update(table, service.Upstreams)
	pool := pools.Get(key).Pool
	self := balancing.Instance{Name: "self", FailureDomain: "east-1", Region: "east"}
	all := newViews()
	all.store(&view{
		table:    table,
		peers:    membership.NewPeers(membership.Peer{Name: "self", FailureDomain: "east-1"}, nil),
		pools:    pools,
		choosers: map[balancing.VersionKey]*balancing.Chooser{key: balancing.NewChooser(balancing.ChooserOptions{Self: self})},
	})
	choose := &chooser{views: all, local: &localTarget{views: all}}
	time.Sleep(time.Second)
	name := fmt.Sprintf("key-customer-%04d", customers/2)
	request := &dispatch.Request{}
	b.ReportAllocs()
	for b.Loop() {
		route, _ := table.Match("example:80", "/lookup/1", "GET")
		known, ok := table.Key(routing.HashKey(name))
		if !ok || !limiter.Admit(time.Now(), limiter.Bucket(known.Customer.Name)).Admitted {
			b.Fatal("not admitted")
		}
		request.Route = route
		choice := choose.Choose(request)
		lease, err := pool.Acquire(b.Context(), balancing.Ticket{Customer: known.Customer.Name})
		if err != nil || len(choice.Targets("v1")) == 0 {
			b.Fatal(err)
		}
		lease.Release(balancing.ResultOK)
	}
}
