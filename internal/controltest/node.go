// Package controltest runs the control loops of several entry instances against
// one store, for tests of reconcilers.
//
// The goroutine of the test ticks all nodes, so that control-plane work has one
// order per run; only calls to the store run concurrently. The package is meant to be
// used within testing/synctest.
package controltest

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"samphireferry.example/ferry/controllease"
	"samphireferry.example/ferry/platform"
	"samphireferry.example/ferry/reconcile"
)

// watchWait is the longest time that one watch call waits for a change.
const watchWait = 5 * time.Second

// Node is the control loop of one entry instance.
type Node struct {
	Name     string
	Executor *reconcile.Executor
	Lease    *controllease.Runner
	// Skew is the offset of the node's wall clock from the true time.
	Skew time.Duration
	// Unfenced makes the node plan even when it does not hold the lease.
	Unfenced bool
	// PausedUntil is the time until which the node does no control-plane work;
	// calls that have already started continue.
	PausedUntil time.Time

	ctx        context.Context
	cancel     context.CancelFunc
	leaseState *controllease.Lease
	store      platform.Store
	mu         sync.Mutex
	queue      []func(now time.Time)
}

// NewNode returns a node that runs until ctx ends or it is killed.
func NewNode(ctx context.Context, store platform.Store, name string, seed uint64) *Node {
	ctx, cancel := context.WithCancel(ctx)
	n := &Node{Name: name, ctx: ctx, cancel: cancel, store: store}
	random := rand.New(rand.NewPCG(seed, seed))
	n.leaseState = controllease.New(controllease.Options{Rand: random})
	n.Lease = controllease.NewRunner(n.leaseState, store, name,
		func(r controllease.Result) { n.Post(func(now time.Time) { n.Lease.Handle(now, r) }) }, nil)
	n.Executor = reconcile.NewExecutor(reconcile.Options{
		Store:     store,
		LeaseHeld: func(now time.Time) bool { return n.Unfenced || n.Lease.Held(now) },
		Post:      func(r reconcile.Result) { n.Post(func(now time.Time) { n.Executor.HandleResult(now, r) }) },
		Rand:      random,
	})
	return n
}

// Now returns the time by the clock of the node.
func (n *Node) Now() time.Time { return time.Now().Add(n.Skew) }

// Post queues work for the next tick.
func (n *Node) Post(work func(now time.Time)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.queue = append(n.queue, work)
}

// Watch calls observe in later ticks for each change under the prefix, until the
// node is killed.
func (n *Node) Watch(prefix string, observe func(entry platform.Entry)) {
	go func() {
		var after platform.Revision
		for n.ctx.Err() == nil {
			entries, revision, err := n.store.Watch(n.ctx, prefix, after, watchWait)
			if err != nil {
				time.Sleep(time.Second)
				continue
			}
			after = revision
			n.Post(func(time.Time) {
				for _, entry := range entries {
					observe(entry)
				}
			})
		}
	}()
}

// Tick does the queued work and one round of control-plane work, unless the node is
// paused or killed. It reports whether it did.
func (n *Node) Tick(members int, work func(now time.Time)) bool {
	if n.ctx.Err() != nil || time.Now().Before(n.PausedUntil) {
		return false
	}
	now := n.Now()
	n.mu.Lock()
	queue := n.queue
	n.queue = nil
	n.mu.Unlock()
	for _, queued := range queue {
		queued(now)
	}
	work(now)
	n.leaseState.SetMembers(members)
	n.Lease.Tick(n.ctx, now)
	n.Executor.Step(n.ctx, now)
	return true
}

// Resign releases the control lease permanently.
func (n *Node) Resign() { n.leaseState.Resign() }

// Alive reports whether the node has not been killed.
func (n *Node) Alive() bool { return n.ctx.Err() == nil }

// Kill stops the node and cancels its running calls.
func (n *Node) Kill() { n.cancel() }

// String returns the name and whether the node holds the control lease.
func (n *Node) String() string {
	return fmt.Sprintf("%s (holds %v)", n.Name, n.Lease.Held(n.Now()))
}
