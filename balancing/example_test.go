package balancing_test

import (
	"context"
	"fmt"

	"samphireferry.example/ferry/balancing"
	"samphireferry.example/ferry/routing"
)

func Example() {
	upstreams := []*routing.Upstream{
		{Name: "lookup-1", Version: "v1", FailureDomain: "east-a", Region: "east", Slots: 2},
		{Name: "lookup-2", Version: "v1", FailureDomain: "east-b", Region: "east", Slots: 2},
	}
	instances := []balancing.Instance{{Name: "entry-1", FailureDomain: "east-a", Region: "east"}}

	pool := balancing.NewPool(balancing.PoolOptions{})
	pool.Update(balancing.Owned("entry-1", upstreams, instances))

	ticket := balancing.Ticket{Customer: "a"}
	lease, err := pool.Acquire(context.Background(), ticket)
	if err != nil {
		fmt.Println("not run:", err)
		return
	}
	fmt.Println(pool.Load().InUse, "of", pool.Load().Slots)
	lease.Release(balancing.ResultOK)
	fmt.Println(pool.Load().InUse, "of", pool.Load().Slots)
	// Output:
	// 1 of 4
	// 0 of 4
}
