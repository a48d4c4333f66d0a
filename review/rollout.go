package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"samphireferry.example/ferry/platform/records"
	standin "samphireferry.example/ferry/standin/records"
)

// order is the operator's order to move a service to a version.
type order struct {
	service, version string
	within           time.Duration
}

// Key implements storeRecord.
func (o order) Key() string { return records.PrefixRolloutOrders + o.service }

// Value implements storeRecord.
func (o order) Value() ([]byte, error) {
	return json.Marshal(map[string]any{"service": o.service, "to_version": o.version, "over_s": o.within.Seconds()})
}

// filings is the route on which the new version fails.
const filings = "/filings/"

// rollout rolls out a version that fails half of the requests of one route, which has few, and
// counts the requests that it gets until the deadline of the order.
func rollout(o options) (bool, error) {
	const (
		instances   = 3
		perVersion  = 3
		work        = 50 * time.Millisecond
		lookupGap   = time.Second / 60
		filingGap   = time.Second
		warmUp      = 5 * time.Second
		within      = 14 * time.Second
		canaryShare = 0.1
		canarySlack = 50
	)
	l := &ledger{record: o.record, quiet: true}
	s, err := newSystem(o.record, o.program)
	if err != nil {
		return false, err
	}
	defer s.close()
	c := configuration(1, time.Second, 1000)
	c.Routes = append(c.Routes, standin.Route{Name: "r-filings", Host: host, Prefix: filings, Service: "desk", AtMostOnce: true, Timeout: time.Second, Attempts: 2})
	add := func(version string) (list []*upstream, err error) {
		for i := range perVersion {
			u, err := newUpstream(fmt.Sprintf("i-%s-%d", version, i+1), "desk", o.stamp, work, 7, l)
			if err != nil {
				return nil, err
			}
			u.version = version
			if err := s.put(u.entry(domains[i][0])); err != nil {
				return nil, err
			}
			list = append(list, u)
		}
		return list, nil
	}
	older, err := add("v1")
	if err != nil {
		return false, err
	}
	if err := s.start(c, instances); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var all sync.WaitGroup
	traffic := func(method, prefix string, gap time.Duration) {
		ticker := time.NewTicker(gap)
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
			all.Go(func() {
				id := fmt.Sprintf("%s-%d", method, n)
				got := send(s.edges[n%instances].Listen, requestHead(method, fmt.Sprintf("%s%d", prefix, n%40), id, 3*time.Second, "Connection: close", "Content-Length: 0"), 3*time.Second)
				if method == http.MethodPost || got.status != http.StatusOK {
					o.record.printf("%s %s: answer %d %v", prefix, id, got.status, got.err)
				}
			})
		}
	}
	all.Go(func() { traffic(http.MethodGet, "/lookup/", lookupGap) })
	all.Go(func() { traffic(http.MethodPost, filings, filingGap) })
	time.Sleep(warmUp)
	newer, err := add("v2")
	if err != nil {
		return false, err
	}
	if o.trouble {
		failing := filings
		for _, u := range newer {
			u.failsHalfOf.Store(&failing)
		}
	}
	if err := s.put(order{"desk", "v2", within}); err != nil {
		return false, err
	}
	ordered := time.Now()
	o.record.printf("roll-out of v2 ordered, within %v", within)
	state := s.followRollout(ordered.Add(within+time.Second), older)
	close(stop)
	all.Wait()
	total, atNew := 0, 0
	for _, r := range l.all() {
		if r.at.Before(ordered) || r.at.After(ordered.Add(within)) {
			continue
		}
		total++
		if r.version == "v2" {
			atNew++
		}
	}
	allowed := canaryShare*float64(total) + canarySlack
	o.record.printf("state %q; between the order and its deadline v2 got %d of %d requests; allowed for a bad version: %.0f", state, atNew, total, allowed)
	return o.trouble && float64(atNew) > allowed, nil
}

// followRollout stops the old upstreams once the system reports that the roll-out is done, and
// returns its last state.
func (s *system) followRollout(until time.Time, older []*upstream) records.RolloutState {
	var last records.RolloutState
	for time.Now().Before(until) {
		time.Sleep(50 * time.Millisecond)
		entry, err := s.store.Get(context.Background(), records.PrefixRolloutStatus+"desk")
		if err != nil {
			continue
		}
		status, err := records.DecodeRolloutStatus(entry.Value)
		if err != nil || status.State == last {
			continue
		}
		last = status.State
		s.record.printf("the system reports the roll-out as %s", last)
		if last != records.RolloutDone {
			continue
		}
		for _, u := range older {
			u.crash()
			old, err := s.store.Get(context.Background(), records.PrefixUpstreams+u.id)
			if err == nil {
				_ = s.store.Delete(context.Background(), old.Key, old.Revision)
			}
		}
	}
	return last
}
