package usage_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphireferry.example/ferry/platform"
	"samphireferry.example/ferry/platform/records"
	"samphireferry.example/ferry/usage"
)

var midnight = time.Unix(1767225600, 0)

// A clock that jumps by seconds and back must not move counts, nor one that was wrong from the
// start where enough others are heard.
func TestTheClockIgnoresJumps(t *testing.T) {
	c := usage.NewClock()
	for s := range 200 {
		boot := time.Duration(s) * time.Second
		wall := midnight.Add(boot)
		if s > 100 && s < 125 {
			wall = wall.Add(7 * time.Second)
		}
		c.Observe(boot, wall)
		assert.Equal(t, c.Now(boot).Sub(midnight), boot)
	}
	wrong := usage.NewClock()
	boot := 10 * time.Second
	wrong.Observe(boot, midnight.Add(boot-5*time.Second))
	wrong.ObservePeer(boot, "a", midnight.Add(boot))
	assert.Equal(t, wrong.Now(boot).Sub(midnight), 5*time.Second, "two clocks have no majority")
	wrong.ObserveGroup(boot, midnight.Add(boot))
	assert.Equal(t, wrong.Now(boot).Sub(midnight), boot, "the leader's majority counts")
	wrong.ObservePeer(boot, "b", midnight.Add(boot+time.Millisecond))
	assert.Equal(t, wrong.Now(boot).Sub(midnight), boot)
	later := boot + time.Minute
	assert.Equal(t, wrong.Now(later).Sub(midnight), later-5*time.Second, "peers that are not heard do not count")
}

// Attempts that waited in a queue must count in the window in which they began, and those that
// were rejected not at all.
func TestAttemptsCountWhereTheyBegan(t *testing.T) {
	const window = 5 * time.Second
	starts := usage.NewStarts()
	for range 50 {
		assert.Equal(t, starts.Observe("s", time.Second, 0.7), time.Duration(0))
	}
	assert.Equal(t, starts.Expected("s", 0.9), time.Duration(0))
	assert.Equal(t, starts.Expected("s", 3), 2*time.Second)
	// All attempts without a wait took a second, so the rest was the wait.
	assert.Equal(t, starts.Observe("s", 2200*time.Millisecond, 2.5), 1200*time.Millisecond)
	assert.Equal(t, starts.Observe("s", 400*time.Millisecond, 2.5), time.Duration(0))

	counter := usage.NewCounter(window)
	first := usage.WindowOf(midnight, window)
	sent := midnight.Add(4 * time.Second)
	atOnce, queued, rejected := counter.Sent("acme", sent), counter.Sent("acme", sent), counter.Sent("acme", sent)
	atOnce.Began(sent)
	queued.Began(sent.Add(1500 * time.Millisecond))
	rejected.NotRun()
	r := counter.Report(1, midnight.Add(7*time.Second))
	assert.Equal(t, r.DoneThrough, first)
	assert.Equal(t, r.Windows[first].Customers["acme"], uint64(1))
	assert.Equal(t, r.Windows[first+1].Customers["acme"], uint64(1))
}

// A window that is confirmed while the one before it is not must not be closed again: not by the
// holder when it gives up the earlier one, and not by a successor.
func TestAConfirmedWindowIsNotClosedAgain(t *testing.T) {
	table := usage.NewTable()
	table.Merge(usage.SourceReport{Source: 1, DoneThrough: 1 << 40, Windows: map[int64]usage.Counts{}})
	first := usage.WindowOf(midnight, settings.Window)
	start := usage.WindowStart(first+1, settings.Window)
	r := usage.NewReporter(start, settings, "n1", 5, platform.Entry{})
	written := platform.Revision(5)
	var record records.UsageReports
	sent := map[int64]int{}
	step := func(now time.Time, answer func(window int64) error) {
		step := r.Next(now, true, table, nil)
		if step.Write != nil {
			written++
			record = step.Write.Record
			r.Written(now, *step.Write, written, nil)
			step = r.Next(now, true, table, nil)
		}
		if step.Send != nil {
			sent[step.Send.Window]++
			r.Sent(now, step.Send.Window, answer(step.Send.Window))
		}
	}
	for at := time.Duration(0); at < 30*time.Second; at += 100 * time.Millisecond {
		step(start.Add(at), func(window int64) error {
			if window == first {
				return platform.ErrUnavailable
			}
			return nil
		})
		if at == 9*time.Second {
			assert.Equal(t, sent[first+1], 1)
		}
	}
	assert.Assert(t, sent[first] > 1)
	assert.Equal(t, sent[first+1], 1)

	// The successor finds a record that was written while the first window was open.
	record = records.UsageReports{Token: 5, Holder: "n1", Through: first - 1, Done: []int64{first + 1}}
	value, err := record.Encode()
	assert.NilError(t, err)
	next := usage.NewReporter(start.Add(9*time.Second), settings, "n2", 9, platform.Entry{Value: value, Revision: 7})
	closed := next.Next(start.Add(9*time.Second), true, table, nil)
	for _, w := range closed.Write.Record.Windows {
		assert.Assert(t, w.Window != first+1)
	}
}

// Messages that are repeated, late or come by two leaders must not add counts twice, and those
// of a source that is missing must be noticed.
func TestCountsAreTakenOnce(t *testing.T) {
	report := func(done int64, version uint32, n uint64) usage.SourceReport {
		return usage.SourceReport{Source: 1, DoneThrough: done, Windows: map[int64]usage.Counts{10: {Version: version, Customers: map[string]uint64{"acme": n}}}}
	}
	table := usage.NewTable()
	for _, r := range []usage.SourceReport{report(9, 1, 5), report(10, 3, 8), report(9, 2, 7), report(10, 3, 8)} {
		table.Merge(r)
	}
	assert.DeepEqual(t, table.Sum(10), map[string]uint64{"acme": 8})
	one, two, other := usage.Expected{Source: 1, Domain: "a"}, usage.Expected{Source: 2, Domain: "a"}, usage.Expected{Source: 3, Domain: "b"}
	_, complete := table.Lacking(10, []usage.Expected{one})
	assert.Assert(t, complete)
	lacking, complete := table.Lacking(11, []usage.Expected{one})
	assert.Assert(t, !complete)
	assert.DeepEqual(t, lacking, map[string]uint64{"acme": 8})
	lacking, complete = table.Lacking(10, []usage.Expected{one, other})
	assert.Assert(t, !complete, "nothing is known of another domain, which may be cut off")
	assert.DeepEqual(t, lacking, map[string]uint64{"acme": 8})
	lacking, complete = table.Lacking(10, []usage.Expected{one, two})
	assert.Assert(t, !complete)
	assert.Equal(t, len(lacking), 0, "a silent instance of a domain that is heard has died")

	outbox := &usage.Outbox{}
	outbox.SetTarget("leader")
	rest, ok := outbox.Unacked(report(10, 3, 8), 0, 10)
	assert.Assert(t, ok && len(rest.Windows) == 1)
	outbox.Acked("leader", []usage.SourceReport{rest})
	_, ok = outbox.Unacked(report(10, 3, 8), 0, 10)
	assert.Assert(t, !ok, "nothing new")
	_, ok = outbox.Unacked(report(10, 4, 9), 0, 10)
	assert.Assert(t, ok, "a revision of an open window")
	_, ok = outbox.Unacked(report(10, 4, 9), 11, 10)
	assert.Assert(t, !ok, "a revision of a closed window")
	outbox.SetTarget("next leader")
	_, ok = outbox.Unacked(report(10, 4, 9), 11, 10)
	assert.Assert(t, ok, "the next leader has nothing")
}
