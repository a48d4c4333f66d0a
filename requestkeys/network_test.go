package requestkeys

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"samphireferry.example/ferry/invariant"
	"samphireferry.example/ferry/membership"
	"samphireferry.example/ferry/rpc/entrypb"
)

// network connects nodes by an unreliable network in one process.
type network struct {
	mu sync.Mutex
	// loss and repeat are the chances of a message to be lost or doubled.
	loss, repeat float64
	slotLength   time.Duration
	rand         *rand.Rand
	nodes        map[string]*node
	invariants   *invariant.Checker
	started      int
}

func newNetwork(t testing.TB, seed uint64) *network {
	return &network{
		rand:  rand.New(rand.NewPCG(seed, 1)),
		nodes: map[string]*node{},
		invariants: &invariant.Checker{OnViolation: func(name invariant.Name, detail string) {
			t.Errorf("invariant %s violated: %s", name, detail)
		}},
	}
}

// node is one entry instance.
type node struct {
	network     *network
	address     string
	domain      string
	incarnation string
	service     *Service
	resolver    *Resolver

	dead, leaving bool
	pausedUntil   time.Time
}

// start replaces the node at the address by a new one.
func (n *network) start(domain, address string) *node {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.started++
	x := &node{network: n, address: address, domain: domain, incarnation: fmt.Sprintf("i%d", n.started)}
	config := Config{
		Incarnation: x.incarnation,
		Invariants:  n.invariants,
		SlotLength:  n.slotLength,
		AcceptFor:   n.slotLength,
		KeepFor:     2 * n.slotLength,
	}
	x.service = NewService(config, time.Now, x.peers, x)
	x.resolver = NewResolver(x.service)
	if old := n.nodes[address]; old != nil {
		old.dead = true
	}
	n.nodes[address] = x
	return x
}

func (n *network) chance(p float64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.rand.Float64() < p
}

// delay is short for most messages and long for some.
func (n *network) delay() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	d := time.Duration(n.rand.IntN(20_000)) * time.Microsecond
	if n.rand.Float64() < n.loss {
		d += time.Duration(n.rand.IntN(2_000)) * time.Millisecond
	}
	return d
}

// pick returns a random live node.
func (n *network) pick() *node {
	n.mu.Lock()
	defer n.mu.Unlock()
	var live []*node
	for i := range len(n.nodes) {
		if x := n.nodes[testAddress(i)]; !x.dead {
			live = append(live, x)
		}
	}
	return live[n.rand.IntN(len(live))]
}

func testAddress(i int) string { return fmt.Sprintf("10.0.0.%d:1", i) }

// peers returns what the node knows: dead nodes stay listed.
func (x *node) peers() *membership.Peers {
	n := x.network
	n.mu.Lock()
	defer n.mu.Unlock()
	var all []*membership.Peer
	for address, p := range n.nodes {
		if p != x {
			all = append(all, &membership.Peer{
				Name: address, Incarnation: p.incarnation, RPCAddress: address,
				FailureDomain: p.domain, Region: "r", Leaving: p.leaving,
			})
		}
	}
	self := membership.Peer{Name: x.address, Incarnation: x.incarnation, FailureDomain: x.domain, Region: "r"}
	return membership.NewPeers(self, all)
}

// gone says whether the process has ended, waiting while it is paused.
func (x *node) gone() bool {
	for {
		x.network.mu.Lock()
		dead, wait := x.dead, time.Until(x.pausedUntil)
		x.network.mu.Unlock()
		if dead || wait <= 0 {
			return dead
		}
		time.Sleep(wait)
	}
}

func (x *node) Client(address string) (entrypb.EntryClient, error) {
	return &link{network: x.network, to: address}, nil
}

// link carries calls to whatever node is at the address when they arrive.
type link struct {
	entrypb.EntryClient
	network *network
	to      string
}

func (l *link) Claim(ctx context.Context, req *entrypb.ClaimRequest, _ ...grpc.CallOption) (*entrypb.ClaimResponse, error) {
	return call(ctx, l, func(s *Service) (*entrypb.ClaimResponse, error) { return s.Claim(ctx, req) })
}

func (l *link) Complete(ctx context.Context, req *entrypb.CompleteRequest, _ ...grpc.CallOption) (*entrypb.CompleteResponse, error) {
	return call(ctx, l, func(s *Service) (*entrypb.CompleteResponse, error) { return s.Complete(ctx, req) })
}

func (l *link) HandOver(ctx context.Context, req *entrypb.HandOverRequest, _ ...grpc.CallOption) (*entrypb.HandOverResponse, error) {
	return call(ctx, l, func(s *Service) (*entrypb.HandOverResponse, error) { return s.HandOver(ctx, req) })
}

// call delivers a message never, once or twice, sooner or later, and the answer
// likewise.
func call[T any](ctx context.Context, l *link, serve func(*Service) (*T, error)) (*T, error) {
	n := l.network
	type result struct {
		answer *T
		err    error
	}
	answers := make(chan result, 2)
	copies := 1
	if n.chance(n.repeat) {
		copies = 2
	}
	for range copies {
		lostRequest, lostAnswer := n.chance(n.loss), n.chance(n.loss)
		there, back := n.delay(), n.delay()
		go func() {
			time.Sleep(there)
			n.mu.Lock()
			to := n.nodes[l.to]
			n.mu.Unlock()
			if lostRequest {
				return
			}
			if to.gone() {
				answers <- result{err: status.Error(codes.Unavailable, "dead")}
				return
			}
			answer, err := serve(to.service)
			time.Sleep(back)
			if !lostAnswer {
				answers <- result{answer, err}
			}
		}()
	}
	select {
	case r := <-answers:
		return r.answer, r.err
	case <-ctx.Done():
		return nil, status.FromContextError(ctx.Err()).Err()
	}
}
