package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"samphireferry.example/ferry/platform"
)

const (
	// drainBound is the time after the store's acknowledgement of a removal within which requests may
	// still reach the upstream.
	drainBound = 2 * time.Second
	// cutPeriod is the time between two cuts.
	cutPeriod = time.Second
	// settleTime is the time between the start and the disruption, and between the disruption and the
	// removal.
	settleTime = 5 * time.Second
	// servesOn is how long the upstream serves after the removal of its entry.
	servesOn = 3 * time.Second
	// longWork is how long the upstreams of this case work on a request.
	longWork = 300 * time.Millisecond
	// afterEnd is how long the callers go on after the end of the upstream.
	afterEnd = 3 * time.Second
)

// cutter passes calls on to the store and closes the connections of all watches that wait once in each
// cutPeriod. All other calls are answered as usual.
type cutter struct {
	inner   http.Handler
	mu      sync.Mutex
	waiting map[net.Conn]int
	cuts    int
}

// ServeHTTP implements http.Handler.
func (c *cutter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn, _ := r.Context().Value(connKey{}).(net.Conn)
	if r.URL.Path == platform.PathWatch && conn != nil {
		c.add(conn, 1)
		defer c.add(conn, -1)
	}
	c.inner.ServeHTTP(w, r)
}

func (c *cutter) add(conn net.Conn, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting[conn] += n
	if c.waiting[conn] == 0 {
		delete(c.waiting, conn)
	}
}

// run cuts until the context ends.
func (c *cutter) run(ctx context.Context, record *record) {
	for ticker := time.NewTicker(cutPeriod); ctx.Err() == nil; {
		select {
		case <-ticker.C:
			record.note("the store cuts %d watches that wait", c.cut())
		case <-ctx.Done():
		}
	}
}

func (c *cutter) cut() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.waiting {
		_ = conn.Close()
	}
	c.cuts += len(c.waiting)
	return len(c.waiting)
}

// runWatch removes the entry of an upstream while the store cuts watches that wait.
func runWatch(r *run) (bool, error) {
	cut := &cutter{waiting: map[net.Conn]int{}}
	s, err := startSystem(r, 4, func(inner http.Handler) http.Handler {
		cut.inner = inner
		return cut
	})
	defer s.close()
	if err != nil {
		return false, err
	}
	for _, u := range s.upstreams {
		u.work = longWork
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c := newCallers(r.record)
	var wait sync.WaitGroup
	wait.Go(func() { c.run(ctx, 40, 20*time.Millisecond, s.addresses()) })
	time.Sleep(settleTime)
	if r.trouble {
		wait.Go(func() { cut.run(ctx, r.record) })
	}
	time.Sleep(settleTime)
	leaver := s.upstreams[0]
	if err := s.store.remove(leaver.Key()); err != nil {
		return false, err
	}
	removed := time.Now()
	r.record.note("the store has acknowledged the removal of %s", leaver.ID)
	time.Sleep(servesOn)
	late, last := 0, time.Duration(0)
	for _, after := range leaver.since(removed) {
		if after > drainBound {
			late++
		}
		last = max(last, after)
	}
	running := leaver.end()
	time.Sleep(afterEnd)
	cancel()
	wait.Wait()
	if err := s.checkRunning(); err != nil {
		return false, err
	}
	c.sumAnswers()
	r.record.sum("%d watches cut; %d requests reached %s later than %v after the removal of its entry, the last after %v",
		cut.cuts, late, leaver.ID, drainBound, last.Round(time.Millisecond))
	r.record.sum("%s ended while it was at work on %d requests", leaver.ID, running)
	if len(leaver.since(r.record.start)) == 0 {
		return false, fmt.Errorf("%s got no request at all", leaver.ID)
	}
	return late > 0, nil
}
