package steering_test

import (
	"fmt"
	"net/netip"

	"samphireferry.example/ferry/config/dynamic"
	"samphireferry.example/ferry/membership"
	"samphireferry.example/ferry/steering"
)

func Example() {
	blocks, err := steering.NewBlocks([]dynamic.ClientBlock{
		{Name: "campus", Prefix: "192.0.2.0/24", FailureDomains: []string{"qc-a"}},
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	self := membership.Peer{Name: "e1", Address: "10.0.0.1:8080", FailureDomain: "on-a", Region: "on"}
	peer := membership.Peer{Name: "e2", Address: "10.0.0.2:8080", FailureDomain: "qc-a", Region: "qc"}
	peers := membership.NewPeers(self, []*membership.Peer{&peer})
	directory := steering.NewDirectory(blocks, nil, peers)
	for _, row := range directory.Order(netip.MustParseAddr("192.0.2.7"), "") {
		fmt.Println(row.Address, row.FailureDomain, row.TTL)
	}
	// Output:
	// 10.0.0.2:8080 qc-a 10s
	// 10.0.0.1:8080 on-a 10s
}
