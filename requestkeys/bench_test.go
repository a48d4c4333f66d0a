package requestkeys

import (
	"context"
	"fmt"
	"runtime"
	"testing"

	"google.golang.org/protobuf/proto"

	"samphireferry.example/ferry/membership"
	"samphireferry.example/ferry/rpc/entrypb"
)

func benchmarkClaim(i int) *entrypb.ClaimRequest {
	return &entrypb.ClaimRequest{
		Key:         fmt.Sprintf("e1_1z141z4~0.0194e1b2-7c3a-7e10-9c1b-%012d", i),
		Customer:    "mit",
		Fingerprint: make([]byte, fingerprintBytes),
		Claimant:    fmt.Sprintf("e2_1z141z5:%d", i),
		DeadlineMs:  10_000,
	}
}

func benchmarkHome(count int) *Home {
	h := NewHome(Config{Incarnation: "e1_1z141z4", MaxClaims: count + 1, MaxCustomerClaims: count + 1}, epoch)
	for i := range count {
		req := benchmarkClaim(i)
		h.Claim(req, epoch)
		h.Complete(&entrypb.CompleteRequest{
			Key: scopedKey(req.Customer, req.Key), Claimant: req.Claimant, Result: ran,
			Answer: &entrypb.RecordedAnswer{Status: 201},
		}, epoch)
	}
	return h
}

func BenchmarkClaimAndComplete(b *testing.B) {
	h := NewHome(Config{Incarnation: "e1_1z141z4", MaxClaims: 1 << 30}, epoch)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		req := benchmarkClaim(i)
		h.Claim(req, epoch)
		h.Complete(&entrypb.CompleteRequest{Key: scopedKey(req.Customer, req.Key), Claimant: req.Claimant, Result: ran}, epoch)
	}
}

func BenchmarkBytesPerClaim(b *testing.B) {
	const count = 100_000
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		h := benchmarkHome(count)
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/count, "bytes/claim")
		runtime.KeepAlive(h)
	}
}

// BenchmarkHandOver measures the copy of 100,000 claims between two homes.
func BenchmarkHandOver(b *testing.B) {
	const count = 100_000
	for b.Loop() {
		b.StopTimer()
		h := benchmarkHome(count)
		receiver := NewHome(Config{Incarnation: "r"}, epoch)
		b.StartTimer()
		sent := 0
		h.StartHandOver("e1_1z141z4", "r", epoch)
		for batch := h.NextBatch("e1_1z141z4", epoch); batch != nil; batch = h.NextBatch("e1_1z141z4", epoch) {
			sent += proto.Size(batch)
			accepts(receiver, batch)
		}
		h.Freeze("e1_1z141z4")
		if !accepts(receiver, h.Commit("e1_1z141z4", epoch)) {
			b.Fatal("the copy was refused")
		}
		b.ReportMetric(float64(sent)/count, "bytes/claim")
	}
}

func BenchmarkResolverLocalHome(b *testing.B) {
	peers := membership.NewPeers(membership.Peer{}, nil)
	s := NewService(Config{Incarnation: "e1_1z141z4", MaxClaims: 1 << 30}, clock, func() *membership.Peers { return peers }, nil)
	r := NewResolver(s)
	ctx := context.Background()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		key, _ := ParseKey(benchmarkClaim(i).Key)
		decision, err := r.Claim(ctx, Request{Key: key, Customer: "mit"})
		if err != nil {
			b.Fatal(err)
		}
		_ = decision.Grant.Ran(ctx, &entrypb.RecordedAnswer{Status: 201})
	}
}
