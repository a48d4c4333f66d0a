package systemtest

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"samphireferry.example/ferry/config/dynamic"
	"samphireferry.example/ferry/platform"
	"samphireferry.example/ferry/shift"
	"samphireferry.example/ferry/units"
)

type moveRecord = shift.Record[dynamic.Move]

// storedMove returns the stored record of the move, or nil.
func (s *system) storedMove(t *testing.T, name string) *moveRecord {
	t.Helper()
	entry, err := s.client.Get(t.Context(), platform.PrefixMoves+name)
	if err != nil {
		return nil
	}
	r, err := shift.Decode[dynamic.Move](entry.Value)
	assert.NilError(t, err)
	return r
}

// leaseHolder returns the entry instance that holds the control lease, or nil when it
// is none of those whose homes are given.
func (s *system) leaseHolder(t *testing.T, homes map[*entry]string) *entry {
	t.Helper()
	lease, err := s.client.Get(t.Context(), platform.KeyControlLease)
	if err != nil {
		return nil
	}
	// The value of the lease and the home of an instance begin with its incarnation.
	incarnation, _, _ := strings.Cut(string(lease.Value), "/")
	for e, home := range homes {
		if strings.HasPrefix(home, incarnation) {
			return e
		}
	}
	return nil
}

// waitForMove polls the record until the condition holds. It checks that the step and
// the share never decrease, that the move is not reverted, and that a move that is
// done stays done.
func (s *system) waitForMove(t *testing.T, last *moveRecord, reached func(r *moveRecord) bool) *moveRecord {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		r := s.storedMove(t, last.Name)
		if r == nil {
			return poll.Continue("no record")
		}
		assert.Assert(t, r.Step >= last.Step, "step %d after %d", r.Step, last.Step)
		assert.Assert(t, r.Share >= last.Share, "share %v after %v", r.Share, last.Share)
		assert.Assert(t, r.State != shift.TakenBack, "%s %s", r.Reason, r.Detail)
		assert.Assert(t, last.State != shift.Done || r.State == shift.Done)
		*last = *r
		if reached(r) {
			return poll.Success()
		}
		return poll.Continue("%+v", r)
	}, poll.WithTimeout(waitTimeout), poll.WithDelay(100*time.Millisecond))
	return last
}

// TestFrozenControlLeaseHolder freezes the holder of the control lease during a move.
// Another instance must complete the move, and the former holder must not revert it
// after it resumes.
func TestFrozenControlLeaseHolder(t *testing.T) {
	s := startSystem(t, 4)
	s.set.Moves = []dynamic.Move{{
		Name: "lookup-east", Service: "lookup", From: "east-1", To: "east-2",
		Cap: 0.5, Step: 0.1, StepInterval: units.Duration(time.Second), Deadline: units.Duration(80 * time.Second),
	}}
	s.publish(t)
	last := s.waitForMove(t, &moveRecord{Name: "lookup-east"}, func(r *moveRecord) bool { return r.Share > 0 })
	homes := map[*entry]string{}
	for _, e := range s.entries {
		home, ok := fetchHome(e.address)
		assert.Assert(t, ok)
		homes[e] = home
	}
	frozen := s.leaseHolder(t, homes)
	assert.Assert(t, frozen != nil)
	frozen.signal(t, freeze)
	defer func() { _ = frozen.cmd.Process.Signal(resume) }()
	before := last.Step

	s.set.Customers[0].Rate = 250
	s.publish(t)
	s.waitForMove(t, last, func(r *moveRecord) bool { return r.State == shift.Done })
	successor := s.leaseHolder(t, homes)
	assert.Assert(t, successor != nil && successor != frozen, "another instance continues the move")
	t.Logf("steps %d to %d while %s was frozen; %s continued the move", before, last.Step, frozen.name, successor.name)

	frozen.signal(t, resume)
	for range 30 {
		s.waitForMove(t, last, func(r *moveRecord) bool { return r.State == shift.Done })
		time.Sleep(100 * time.Millisecond)
	}
	for _, e := range s.entries {
		waitServing(t, e.address)
	}
	f := s.sendFilingsDuring(t, func() { time.Sleep(time.Second) })
	s.checkFilings(t, f)
}
