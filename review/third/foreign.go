package main

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// leavesAfter is how long the upstream of this case serves after the removal of its entry.
const leavesAfter = 8 * time.Second

// runForeign lets another writer put an entry that lacks a field under the id of an upstream whose entry
// has been removed.
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
	if err := s.store.remove(leaver.Key()); err != nil {
		return false, err
	}
	removed := time.Now()
	r.record.note("the store has acknowledged the removal of %s", leaver.ID)
	time.Sleep(drainBound)
	if r.trouble {
		if err := s.store.put(leaver.Key(), foreign); err != nil {
			return false, err
		}
		r.record.note("another writer has put an entry there: %s", foreign)
	}
	time.Sleep(leavesAfter - drainBound)
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
	r.record.sum("%d requests reached %s later than %v after the removal of its entry, the last after %v",
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
