package admission

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"samphireferry.example/ferry/rpc/entrypb"
	"samphireferry.example/ferry/sharetable"
)

// loadedLimiter returns a limiter for the given number of customers, and the buckets of
// these customers. Every second customer has no tokens and a demand above its share.
func loadedLimiter(customers int) (*Limiter, []*Bucket) {
	now := time.Now()
	l := NewLimiter(Settings{MaxPause: time.Hour, MessagesPerSecond: 1e9, MessageBurst: 1 << 30}, now)
	var shares []sharetable.Share
	for i := range customers {
		whole := sharetable.Customer{Name: fmt.Sprintf("customer %d", i), Rate: 1e4, Burst: 1e4}
		shares = append(shares, sharetable.Share{Customer: whole, Rate: 1e3, Burst: 1e3})
	}
	l.Configure(now, shares, true)
	var peers []Peer
	for i := range 16 {
		peers = append(peers, Peer{Name: fmt.Sprintf("10.0.0.%d:80", i), Distance: Distance(i % 3)})
	}
	l.SetPeers(peers)
	list := l.buckets.Load().list
	for i, b := range list {
		b.level = 1e3 * float64(i%2)
		b.demand.perSecond = 1e4 * float64(1-i%2)
		b.active.Store(true)
	}
	return l, list
}

func BenchmarkAdmit(b *testing.B) {
	for _, customers := range []int{8, 512, 4096} {
		l, buckets := loadedLimiter(customers)
		b.Run(fmt.Sprintf("customers=%d", customers), func(b *testing.B) {
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				l.Admit(time.Now(), buckets[i%customers])
				i++
			}
		})
		b.Run(fmt.Sprintf("customers=%d/parallel", customers), func(b *testing.B) {
			b.ReportAllocs()
			var first atomic.Int64
			b.RunParallel(func(pb *testing.PB) {
				i := int(first.Add(7919))
				for pb.Next() {
					l.Admit(time.Now(), buckets[i%customers])
					i++
				}
			})
		})
	}
}

func BenchmarkPlanLoans(b *testing.B) {
	for _, customers := range []int{8, 512, 4096} {
		l, _ := loadedLimiter(customers)
		b.Run(fmt.Sprintf("customers=%d", customers), func(b *testing.B) {
			b.ReportAllocs()
			now := time.Now()
			for b.Loop() {
				now = now.Add(time.Nanosecond)
				for _, request := range l.PlanLoans(now) {
					l.Granted(now, request.ID, nil)
				}
			}
		})
	}
}

// BenchmarkPlanLoansByPeers measures a plan for 64 customers, half of which need
// loans, and replacing the list of peers, by the number of peers.
func BenchmarkPlanLoansByPeers(b *testing.B) {
	for _, count := range []int{10, 100, 1000, 4600} {
		var peers []Peer
		for i := range count {
			peers = append(peers, Peer{Name: fmt.Sprintf("10.0.%d.%d:80", i/256, i%256), Distance: Distance(i % 3)})
		}
		l, _ := loadedLimiter(64)
		l.SetPeers(peers)
		b.Run(fmt.Sprintf("plan/peers=%d", count), func(b *testing.B) {
			now := time.Now()
			for b.Loop() {
				now = now.Add(time.Nanosecond)
				for _, request := range l.PlanLoans(now) {
					l.Granted(now, request.ID, nil)
				}
			}
		})
		b.Run(fmt.Sprintf("set/peers=%d", count), func(b *testing.B) {
			for b.Loop() {
				l.SetPeers(peers)
			}
		})
	}
}

// BenchmarkLend measures a lender's work for one request and the size of the
// request and its response.
func BenchmarkLend(b *testing.B) {
	for _, items := range []int{1, 8, 64} {
		l, buckets := loadedLimiter(2 * items)
		request := &entrypb.LendRequest{Borrower: "10.0.0.1:8080", Incarnation: "0123456789abcdef", ShareVersion: 1 << 20}
		response := &entrypb.LendResponse{}
		var asked []Item
		for i := range items {
			name := buckets[2*i+1].Customer()
			asked = append(asked, Item{Customer: name, Reserve: 1e-9})
			request.Requests = append(request.Requests, &entrypb.TokenRequest{Customer: name, Reserve: 12.5, Spend: 3})
			response.Grants = append(response.Grants, &entrypb.TokenGrant{Customer: name, Reserve: 12.5, Spend: 3, Remaining: 8.25})
		}
		b.Run(fmt.Sprintf("items=%d", items), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				l.Lend(time.Now(), asked)
			}
			b.ReportMetric(float64(proto.Size(request)), "request-bytes")
			b.ReportMetric(float64(proto.Size(response)), "answer-bytes")
		})
	}
}
