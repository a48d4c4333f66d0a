package main

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// drainsFor is how long the upstream serves after its report that it drains.
const drainsFor = 8 * time.Second

// runForeign lets another writer replace the entry of an upstream that drains by one that lacks a
// field.
func runForeign(r *run) (bool, error) {
	s, err := startSystem(r, 4, nil)
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
	leaver := s.upstreams[0]
	foreign, err := withoutVersion(leaver)
	if err != nil {
		return false, err
	}
	leaver.Draining = true
	if err := s.store.putRecord(leaver.Upstream); err != nil {
		return false, err
	}
	drained := time.Now()
	r.record.note("the store has acknowledged that %s is draining", leaver.ID)
	time.Sleep(drainBound)
	if r.trouble {
		if err := s.store.put(leaver.Key(), foreign); err != nil {
			return false, err
		}
		r.record.note("another writer has replaced the entry: %s", foreign)
	}
	time.Sleep(drainsFor - drainBound)
	late, last := 0, time.Duration(0)
	for _, after := range leaver.since(drained) {
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
	r.record.sum("%d requests reached %s later than %v after it had reported that it drains, the last after %v",
		late, leaver.ID, drainBound, last.Round(time.Millisecond))
	r.record.sum("%s ended while it was at work on %d requests", leaver.ID, running)
	if len(leaver.since(r.record.start)) == 0 {
		return false, errors.Newf("%s got no request at all", leaver.ID)
	}
	return late > 0, nil
}

// withoutVersion returns the entry of the upstream while it was ready, without its version.
func withoutVersion(u *upstream) ([]byte, error) {
	value, err := u.Value()
	if err != nil {
		return nil, err
	}
	var entry map[string]any
	if err := json.Unmarshal(value, &entry); err != nil {
		return nil, err
	}
	info, ok := entry["info"].(map[string]any)
	if !ok {
		return nil, errors.New("the entry has no description")
	}
	delete(info, "version")
	return json.Marshal(entry)
}
