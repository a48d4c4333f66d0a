package membership_test

import (
	"fmt"
	"time"

	"samphireferry.example/ferry/membership"
	"samphireferry.example/ferry/rpc/entrypb"
)

func Example() {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	registry := membership.NewRegistry(membership.Config{
		Self:  &entrypb.Identity{Name: "e1", Incarnation: "e1_a", RpcAddress: "10.0.0.1:9090", FailureDomain: "qc-a"},
		Seeds: []string{"10.0.0.2:9090"},
	}, now)
	for _, target := range registry.Due(now) {
		fmt.Println("heartbeat to", target.RPCAddress)
	}
	registry.HandleResponse("10.0.0.2:9090", &entrypb.State{
		Identity: &entrypb.Identity{Name: "e2", Incarnation: "e2_b", RpcAddress: "10.0.0.2:9090", FailureDomain: "qc-a"},
	}, now)
	for _, peer := range registry.Snapshot(now).InDomain("qc-a") {
		fmt.Println(peer.Name, peer.Health)
	}
	// Output:
	// heartbeat to 10.0.0.2:9090
	// e2 alive
}
