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

// network simulates an unreliable network of nodes in one process.
type network struct {
	mu sync.Mutex
	// loss and repeat are the probabilities that a message is lost or
	// duplicated.
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

// start starts a node, which replaces the one at the address.
func (n *network) start(domain, address string) *node {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.started++
	inst := &node{network: n, address: address, domain: domain, incarnation: fmt.Sprintf("i%d", n.started)}
	config := Config{
		Incarnation: inst.incarnation,
		Invariants:  n.invariants,
		SlotLength:  n.slotLength,
		AcceptFor:   n.slotLength,
		KeepFor:     2 * n.slotLength,
	}
	inst.service = NewService(config, time.Now, inst.peers, inst)
	inst.resolver = NewResolver(inst.service)
	if previous := n.nodes[address]; previous != nil {
		previous.dead = true
	}
	n.nodes[address] = inst
	return inst
}

// chance returns true with probability p.
func (n *network) chance(p float64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.rand.Float64() < p
}

// delay returns a random delay that is below 20 ms for most messages and up to
// 2 s longer with the probability loss.
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
		if inst := n.nodes[testAddress(i)]; !inst.dead {
			live = append(live, inst)
		}
	}
	return live[n.rand.IntN(len(live))]
}

func testAddress(i int) string { return fmt.Sprintf("10.0.0.%d:1", i) }

// peers returns the node's view of its peers, in which dead nodes stay listed.
func (inst *node) peers() *membership.Peers {
	n := inst.network
	n.mu.Lock()
	defer n.mu.Unlock()
	var all []*membership.Peer
	for address, p := range n.nodes {
		if p != inst {
			all = append(all, &membership.Peer{
				Name: address, Incarnation: p.incarnation, RPCAddress: address,
				FailureDomain: p.domain, Region: "r", Leaving: p.leaving,
			})
		}
	}
	self := membership.Peer{Name: inst.address, Incarnation: inst.incarnation, FailureDomain: inst.domain, Region: "r"}
	return membership.NewPeers(self, all)
}

// isDeadAfterPause waits while the node is paused, unless it is dead, and
// reports whether it is dead.
func (inst *node) isDeadAfterPause() bool {
	for {
		inst.network.mu.Lock()
		dead, wait := inst.dead, time.Until(inst.pausedUntil)
		inst.network.mu.Unlock()
		if dead || wait <= 0 {
			return dead
		}
		time.Sleep(wait)
	}
}

func (inst *node) Client(address string) (entrypb.EntryClient, error) {
	return &nodeClient{network: inst.network, to: address}, nil
}

// nodeClient delivers each call to the node that has the address when the call
// arrives.
type nodeClient struct {
	entrypb.EntryClient
	network *network
	to      string
}

func (c *nodeClient) Claim(ctx context.Context, req *entrypb.ClaimRequest, _ ...grpc.CallOption) (*entrypb.ClaimResponse, error) {
	return call(ctx, c, func(s *Service) (*entrypb.ClaimResponse, error) { return s.Claim(ctx, req) })
}

func (c *nodeClient) Complete(ctx context.Context, req *entrypb.CompleteRequest, _ ...grpc.CallOption) (*entrypb.CompleteResponse, error) {
	return call(ctx, c, func(s *Service) (*entrypb.CompleteResponse, error) { return s.Complete(ctx, req) })
}

func (c *nodeClient) HandOver(ctx context.Context, req *entrypb.HandOverRequest, _ ...grpc.CallOption) (*entrypb.HandOverResponse, error) {
	return call(ctx, c, func(s *Service) (*entrypb.HandOverResponse, error) { return s.HandOver(ctx, req) })
}

// call delivers a message zero, one or two times after random delays, and its
// response likewise.
func call[T any](ctx context.Context, c *nodeClient, serve func(*Service) (*T, error)) (*T, error) {
	n := c.network
	type result struct {
		response *T
		err      error
	}
	results := make(chan result, 2)
	copies := 1
	if n.chance(n.repeat) {
		copies = 2
	}
	for range copies {
		requestLost, responseLost := n.chance(n.loss), n.chance(n.loss)
		requestDelay, responseDelay := n.delay(), n.delay()
		go func() {
			time.Sleep(requestDelay)
			n.mu.Lock()
			to := n.nodes[c.to]
			n.mu.Unlock()
			if requestLost {
				return
			}
			if to.isDeadAfterPause() {
				results <- result{err: status.Error(codes.Unavailable, "dead")}
				return
			}
			response, err := serve(to.service)
			time.Sleep(responseDelay)
			if !responseLost {
				results <- result{response, err}
			}
		}()
	}
	select {
	case r := <-results:
		return r.response, r.err
	case <-ctx.Done():
		return nil, status.FromContextError(ctx.Err()).Err()
	}
}
