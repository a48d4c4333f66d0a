package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"samphireferry.example/ferry/config/dynamic"
	"samphireferry.example/ferry/platform"
	"samphireferry.example/ferry/shift"
	standinupstream "samphireferry.example/ferry/standin/upstream"
	"samphireferry.example/ferry/units"
)

// steadyLoad sends archive searches at a rate until it is stopped.
func steadyLoad(t *testing.T, s *System, perSecond int) (stop func()) {
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() {
		ticker := time.NewTicker(time.Second / time.Duration(perSecond))
		defer ticker.Stop()
		for i := 0; ctx.Err() == nil; i++ {
			<-ticker.C
			url := fmt.Sprintf("http://%s/archive?q=%d", s.Entries[i%len(s.Entries)].CallerAddress(), i)
			running.Go(func() { get(t, url, KeyLarge) })
		}
	})
	return func() {
		cancel()
		running.Wait()
	}
}

// waitForEnd waits until the record of a shift has ended and returns it.
func waitForEnd[O comparable](t *testing.T, s *System, key string) *shift.Record[O] {
	t.Helper()
	var ended *shift.Record[O]
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		entry, err := s.Platform.Get(t.Context(), key)
		if err != nil {
			return poll.Continue("%v", err)
		}
		var record shift.Record[O]
		if err := json.Unmarshal(entry.Value, &record); err != nil {
			return poll.Error(err)
		}
		if !record.Ended() {
			return poll.Continue("%s share %.2f %s", record.State, record.Share, record.Reason)
		}
		ended = &record
		return poll.Success()
	}, poll.WithTimeout(120*time.Second), poll.WithDelay(100*time.Millisecond))
	return ended
}

// executed returns the requests that ran on upstreams whose name has the prefix.
func executed(s *System, prefix string) int {
	total := 0
	for name, u := range s.Upstreams {
		if len(name) >= len(prefix) && name[:len(prefix)] == prefix {
			total += u.Ledger().Snapshot().Executed
		}
	}
	return total
}

// startRollout adds a second version of the archive and publishes its roll-out.
func startRollout(t *testing.T, s *System, faults standinupstream.Faults) {
	t.Helper()
	archive := sizes[2]
	for n := range archive.upstreams {
		assert.NilError(t, s.AddUpstream(archive, "v2", n))
	}
	for name, u := range s.Upstreams {
		if name[:len("archive-v2")] == "archive-v2" {
			u.SetFaults(faults)
		}
	}
	s.Set.Versions = append(s.Set.Versions, dynamic.Version{Name: "v2", Service: serviceArchive})
	s.Set.Rollouts = []dynamic.Rollout{{
		Name: "archive-v2", Service: serviceArchive, From: firstVersion, To: "v2",
		CanaryShare: 0.1, Step: 0.5, StepInterval: units.Duration(time.Second), Deadline: units.Duration(90 * time.Second),
	}}
	assert.NilError(t, s.Publish(t.Context()))
}

func TestGoodVersionIsDoneInTime(t *testing.T) {
	s := startSystem(t, Options{})
	waitReady(t, s)
	stop := steadyLoad(t, s, 200)
	defer stop()
	startRollout(t, s, standinupstream.Faults{})
	record := waitForEnd[dynamic.Rollout](t, s, platform.PrefixRollouts+"archive-v2")
	assert.Equal(t, record.State, shift.Done, record.Detail)
	t.Logf("done after %s", record.Elapsed)
}

func TestBadVersionIsTakenBack(t *testing.T) {
	s := startSystem(t, Options{})
	waitReady(t, s)
	stop := steadyLoad(t, s, 200)
	startRollout(t, s, standinupstream.Faults{Requests: []standinupstream.Fault{
		{Kind: standinupstream.FaultStatus, Status: http.StatusInternalServerError},
	}})
	record := waitForEnd[dynamic.Rollout](t, s, platform.PrefixRollouts+"archive-v2")
	assert.Equal(t, record.State, shift.TakenBack)
	assert.Equal(t, record.Reason, shift.ReasonVerdict, record.Detail)
	bad := executed(s, "archive-v2")
	time.Sleep(time.Second)
	stop()
	t.Logf("taken back after %s: %s; it got %d requests, the old one %d", record.Elapsed, record.Detail, bad, executed(s, "archive-v1"))
	assert.Equal(t, executed(s, "archive-v2"), bad, "the bad version got requests after it was taken back")
}

func TestMoveIsDoneWithinItsCap(t *testing.T) {
	s := startSystem(t, Options{})
	waitReady(t, s)
	stop := steadyLoad(t, s, 100)
	defer stop()
	s.Set.Moves = []dynamic.Move{{
		Name: "archive-east", Service: serviceArchive, From: "east-1", To: "west-1", Cap: 0.5, Step: 0.25,
		StepInterval: units.Duration(time.Second), Deadline: units.Duration(60 * time.Second),
	}}
	assert.NilError(t, s.Publish(t.Context()))
	record := waitForEnd[dynamic.Move](t, s, platform.PrefixMoves+"archive-east")
	assert.Equal(t, record.State, shift.Done, record.Detail)
	assert.Assert(t, record.Share <= 0.5)
	t.Logf("done after %s", record.Elapsed)
}
