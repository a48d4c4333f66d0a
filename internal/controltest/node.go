// Package controltest runs the control work of several entry instances against
// one store, for tests of reconcilers.
//
// All nodes are ticked by the goroutine of the test, so that one run has one
// order of control work; only calls on the store run beside it. It is meant to
// be used within testing/synctest.
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

// watchWait is the time for which a watch waits for a change.
const watchWait = 5 * time.Second

// Node is the control part of one entry instance.
type Node struct {
	Name     string
	Executor *reconcile.Executor
	Lease    *controllease.Runner
	// Skew is the difference of the node's wall clock to the true time.
	Skew time.Duration
	// Unfenced makes the node plan also when it does not hold the lease.
	Unfenced bool
	// PausedUntil stops the control work of the node; calls that were started
	// go on.
	PausedUntil time.Time

	ctx     context.Context
	cancel  context.CancelFunc
	machine *controllease.Lease
	store   platform.Store
	mu      sync.Mutex
	queue   []func(now time.Time)
}

// NewNode returns a node that works until ctx ends or it is killed.
func NewNode(ctx context.Context, store platform.Store, name string, seed uint64) *Node {
	ctx, cancel := context.WithCancel(ctx)
	n := &Node{Name: name, ctx: ctx, cancel: cancel, store: store}
	random := rand.New(rand.NewPCG(seed, seed))
	n.machine = controllease.New(controllease.Options{Rand: random})
	n.Lease = controllease.NewRunner(n.machine, store, name,
		func(r controllease.Result) { n.Post(func(now time.Time) { n.Lease.Handle(now, r) }) }, nil)
	n.Executor = reconcile.NewExecutor(reconcile.Options{
		Store: store,
		Held:  func(now time.Time) bool { return n.Unfenced || n.Lease.Held(now) },
		Post:  func(r reconcile.Result) { n.Post(func(now time.Time) { n.Executor.HandleResult(now, r) }) },
		Rand:  random,
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

// Watch passes changes under the prefix on, until the node is killed.
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

// Tick does the control work of one moment, unless the node is paused or
// killed. It says whether it did.
func (n *Node) Tick(members int, work func(now time.Time)) bool {
	if n.ctx.Err() != nil || time.Now().Before(n.PausedUntil) {
		return false
	}
	now := n.Now()
	n.mu.Lock()
	queue := n.queue
	n.queue = nil
	n.mu.Unlock()
	for _, job := range queue {
		job(now)
	}
	work(now)
	n.machine.SetMembers(members)
	n.Lease.Tick(n.ctx, now)
	n.Executor.Step(n.ctx, now)
	return true
}

// Resign gives the control lease up.
func (n *Node) Resign() { n.machine.Resign() }

// Alive says whether the node has not been killed.
func (n *Node) Alive() bool { return n.ctx.Err() == nil }

// Kill ends the node.
func (n *Node) Kill() { n.cancel() }

// String returns the name and whether the node plans.
func (n *Node) String() string {
	return fmt.Sprintf("%s (holds %v)", n.Name, n.Lease.Held(n.Now()))
}
