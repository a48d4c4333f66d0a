package steering

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"

	"samphireferry.example/ferry/config/dynamic"
	"samphireferry.example/ferry/membership"
)

// randomBlocks returns client blocks with distinct IPv4 prefixes of 16 to 28
// bits, which may be nested, each with one of 83 lists of failure domains.
func randomBlocks(count int) []dynamic.ClientBlock {
	random := rand.New(rand.NewPCG(1, 1))
	lists := make([][]string, 83)
	for i := range lists {
		lists[i] = []string{fmt.Sprint("d", i), fmt.Sprint("d", (i+1)%len(lists))}
	}
	seen := make(map[netip.Prefix]bool, count)
	blocks := make([]dynamic.ClientBlock, 0, count)
	for len(blocks) < count {
		n := random.Uint32()
		address := netip.AddrFrom4([4]byte{byte(n >> 24), byte(n >> 16), byte(n >> 8), byte(n)})
		prefix := netip.PrefixFrom(address, 16+random.IntN(13)).Masked()
		if seen[prefix] {
			continue
		}
		seen[prefix] = true
		blocks = append(blocks, dynamic.ClientBlock{Prefix: prefix.String(), FailureDomains: lists[random.IntN(len(lists))]})
	}
	return blocks
}

func heapBytes() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

func BenchmarkLookup(b *testing.B) {
	for _, count := range []int{45_000, 450_000, 4_500_000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			list := randomBlocks(count)
			before := heapBytes()
			blocks, err := NewBlocks(list)
			assert.NilError(b, err)
			bytesPerBlock := float64(heapBytes()-before) / float64(count)
			random := rand.New(rand.NewPCG(2, 2))
			addresses := make([]netip.Addr, 1<<16)
			for i := range addresses {
				n := random.Uint32()
				addresses[i] = netip.AddrFrom4([4]byte{byte(n >> 24), byte(n >> 16), byte(n >> 8), byte(n)})
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				blocks.Lookup(addresses[i%len(addresses)])
			}
			b.ReportMetric(bytesPerBlock, "bytes/block")
			runtime.KeepAlive(list)
		})
	}
}

func BenchmarkNewBlocks(b *testing.B) {
	for _, count := range []int{45_000, 450_000, 4_500_000} {
		list := randomBlocks(count)
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			for b.Loop() {
				_, err := NewBlocks(list)
				assert.NilError(b, err)
			}
		})
	}
}

// benchPeers spreads the instances over failure domains, two per region.
func benchPeers(count int) *membership.Peers {
	all := make([]*membership.Peer, count)
	domains := max(6, count*83/4600)
	for i := range all {
		domain := i % domains
		all[i] = &membership.Peer{
			Name: fmt.Sprint("n", i), Address: fmt.Sprintf("10.0.%d.%d:80", i/256, i%256), FailureDomain: fmt.Sprint("d", domain),
			Region: fmt.Sprint("r", domain/2), LoadPermille: uint32(i * 37 % 1000),
		}
	}
	return membership.NewPeers(*all[0], all[1:])
}

func BenchmarkOrder(b *testing.B) {
	for _, count := range []int{10, 100, 1000, 4600} {
		d := NewDirectory(&Blocks{}, nil, benchPeers(count))
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				d.Order(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), "")
			}
		})
	}
}

func BenchmarkNewDirectory(b *testing.B) {
	for _, count := range []int{10, 1000, 4600} {
		peers := benchPeers(count)
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				NewDirectory(&Blocks{}, nil, peers)
			}
		})
	}
}
