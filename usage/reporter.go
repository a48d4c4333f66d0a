package usage

import (
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"samphireferry.example/ferry/platform"
	"samphireferry.example/ferry/platform/records"
)

// The times of a window after its end, as fractions of the time after which its report is due.
const (
	// settleFraction is when a window is closed at the earliest. Counts take about 2 s to
	// the holder, and attempts that are in a queue at the end of the window begin meanwhile.
	settleFraction = 0.3
	// completeFraction is when a window is closed although sources are missing that can make no
	// difference beyond the tolerance. It leaves a successor the time to take over from a
	// holder that is killed: its lease, the acquisition, and the counts once more.
	completeFraction = 0.4
	// giveUpFraction is when a window that lacks counts is left out. What remains is too short
	// for the store and the API when they are slow.
	giveUpFraction = 0.85
	// cedeFraction is the time without a successful call after which the duty is given up: the
	// holder may be cut off from the API. It exceeds the gap between two windows' reports.
	cedeFraction = 0.5
	// callFraction bounds the first call of a report; the next ones may take a multiple.
	callFraction = 0.25
)

const (
	// retryPause is the pause after a failed call of the API or the store.
	retryPause = 300 * time.Millisecond
	// minCedeFailures is the number of failed calls in a row before the duty is given up.
	minCedeFailures = 3
	// lackingSlack is the number of requests of one customer that may be lacking beyond the
	// tolerance: a single request of a customer with few would exceed it.
	lackingSlack = 2
	// minCallsPerSecond is the rate of calls that is needed for a report of each window and
	// repeats.
	minCallsPerSecond = 1
	// slowMemory is how long a slow call of the API is remembered.
	slowMemory = time.Minute
	// maxMissedWindows bounds the windows without a holder that are counted one by one.
	maxMissedWindows = 1000
)

// Settings are those of the reports.
type Settings struct {
	// Window is the length of a window, Late the time after its end at which its report is due.
	Window time.Duration
	Late   time.Duration
	// Off is the tolerance of a count, as a fraction of it.
	Off float64
	// CallsPerSecond bounds the calls of the API.
	CallsPerSecond float64
}

// Open returns the first window whose report can still take revised counts.
func (s Settings) Open(now time.Time) int64 {
	return WindowOf(now.Add(-s.fraction(completeFraction)), s.Window)
}

func (s Settings) fraction(f float64) time.Duration { return time.Duration(f * float64(s.Late)) }

// Reason says why a window was not reported.
type Reason string

// The reasons.
const (
	// NoHolder means that no instance had the duty while the window could be closed.
	NoHolder Reason = "no_holder"
	// InDoubt means that a report of it may have been sent that the store has lost.
	InDoubt Reason = "in_doubt"
	// Incomplete means that too many counts were missing.
	Incomplete Reason = "incomplete"
	// NotStored means that the store did not confirm the counts before the report was due.
	NotStored Reason = "not_stored"
	// Unconfirmed means that the API did not confirm the report before it was due; it may have it.
	Unconfirmed Reason = "unconfirmed"
)

// Reasons returns all reasons.
func Reasons() []Reason { return []Reason{NoHolder, InDoubt, Incomplete, NotStored, Unconfirmed} }

// Missed is a window that was not reported.
type Missed struct {
	Window int64
	Reason Reason
	// Counts holds what is known of the window.
	Counts map[string]uint64
}

// Send is a report to send now.
type Send struct {
	Window  int64
	Counts  map[string]uint64
	Timeout time.Duration
}

// Write is a record to write, if the store still has the expected revision.
type Write struct {
	Record   records.UsageReports
	Expected platform.Revision
}

// Step is what to do now.
type Step struct {
	// Write is nil if there is nothing to write; Read is set when the record has to be read.
	Write *Write
	Read  bool
	// Send is nil if there is nothing to send.
	Send   *Send
	Missed []Missed
}

// window is a closed window whose report is not done. Its counts never change once it is in a
// Write.
type window struct {
	counts          map[string]uint64
	stored, sending bool
	calls           int
	sentAt, nextAt  time.Time
}

// Reporter decides what the holder of the duty stores and sends under one fencing token. Only
// the control goroutine may use it.
//
// A window is closed once: its counts are written to the store by compare-and-swap before
// they are sent, upon the record that the holder has read or written last. So there is one
// sequence of records, no two of which have different counts for a window, and a successor
// sends what it finds there. Only a restore of the store from a copy can lose a record; then
// all windows that may have been closed before it are left out.
type Reporter struct {
	settings Settings
	token    platform.Revision
	record   records.UsageReports
	revision platform.Revision
	// windows holds the closed windows after record.Through.
	windows map[int64]*window
	// done holds the windows after record.Through that need nothing more.
	done map[int64]bool
	// busy is set while the record is written or read, mustRead when it has to be read.
	busy, mustRead bool
	lost           bool
	nextWriteAt    time.Time
	nextSendAt     time.Time
	// slowest is the longest call of the last slowMemory, which ended at slowestAt.
	slowest      time.Duration
	slowestAt    time.Time
	failures     int
	failingSince time.Time
	// pending holds missed windows for the next Step.
	pending []Missed
}

// NewReporter returns the decisions of a holder with the fencing token, which has read the entry
// of the record after it acquired the duty.
func NewReporter(now time.Time, settings Settings, name string, token platform.Revision, entry platform.Entry) *Reporter {
	r := &Reporter{
		settings: settings, token: token, revision: entry.Revision,
		windows: map[int64]*window{}, done: map[int64]bool{},
	}
	last, err := records.DecodeUsageReports(entry)
	known := err == nil && entry.Revision != 0
	r.record = records.UsageReports{Token: int64(token), Holder: name, Previous: last.Holder, Through: last.Through}
	if last.Holder == name {
		r.record.Previous = last.Previous
	}
	// The newest window whose report is overdue.
	overdue := WindowOf(now.Add(-settings.Late), settings.Window) - 1
	switch {
	case entry.Revision == 0 && token.Era() == 0:
		// The first holder: instances have just started. The window before the current one may
		// have ended since.
		r.record.Through = WindowOf(now, settings.Window) - 2
	case !known || platform.Revision(last.Token).Era() != token.Era():
		// A holder before the restore may have closed windows up to the current one by its clock,
		// which may be ahead of this one.
		r.record.Through = WindowOf(now, settings.Window) + 1
		r.miss(InDoubt, max(last.Through, overdue)+1, r.record.Through)
	default:
		r.adopt(last)
		for w := range r.windows {
			if w <= overdue {
				// The last holder may have reported it; it counts what is not.
				r.finish(w)
			}
		}
		for w := max(r.record.Through+1, overdue-maxMissedWindows); w <= overdue; w++ {
			if !r.done[w] {
				r.miss(NoHolder, w, w)
			}
		}
		r.record.Through = max(r.record.Through, overdue)
		maps.DeleteFunc(r.done, func(w int64, _ bool) bool { return w <= overdue })
	}
	return r
}

// miss records the windows from first to last as missed.
func (r *Reporter) miss(reason Reason, first, last int64) {
	for w := first; w <= last; w++ {
		r.pending = append(r.pending, Missed{Window: w, Reason: reason})
	}
}

// adopt takes over the reports in a record of an earlier holder. What this holder has stored is
// in no such record.
func (r *Reporter) adopt(last records.UsageReports) {
	for _, w := range last.Done {
		if closed := r.windows[w]; w > r.record.Through && (closed == nil || !closed.stored) {
			r.finish(w)
		}
	}
	for _, w := range last.Windows {
		if w.Window <= r.record.Through || r.done[w.Window] {
			continue
		}
		if known := r.windows[w.Window]; known == nil || !known.stored {
			r.windows[w.Window] = &window{counts: w.Counts, stored: true}
		}
	}
}

// finish marks a window as done and moves Through on.
func (r *Reporter) finish(w int64) {
	delete(r.windows, w)
	r.done[w] = true
	for r.done[r.record.Through+1] {
		r.record.Through++
		delete(r.done, r.record.Through)
	}
}

// Lost reports whether the holder must give up the duty: the store was restored, or another
// holder has acted.
func (r *Reporter) Lost() bool { return r.lost }

// Unreachable reports whether the calls of the API have failed for so long that another
// instance should try.
func (r *Reporter) Unreachable(now time.Time) bool {
	return r.failures >= minCedeFailures && now.Sub(r.failingSince) >= r.settings.fraction(cedeFraction)
}

// Next returns what to do at the time, with the counts that have arrived and the sources that
// are expected. maySend is whether the holder may act already. The results go to Written,
// RecordRead and Sent. It must not be called while the holder may not act any more.
func (r *Reporter) Next(now time.Time, maySend bool, table *Table, expected []Expected) Step {
	step := Step{Missed: r.pending}
	r.pending = nil
	if r.lost {
		return step
	}
	newest := WindowOf(now.Add(-r.settings.fraction(settleFraction)), r.settings.Window) - 1
	for w := r.record.Through + 1; w <= newest; w++ {
		if missed, ok := r.decide(now, w, table, expected); ok {
			step.Missed = append(step.Missed, missed)
		}
	}
	step.Write, step.Read = r.nextWrite(now)
	if maySend {
		step.Send = r.nextSend(now)
	}
	return step
}

// decide closes the window or finds that it is missed.
func (r *Reporter) decide(now time.Time, w int64, table *Table, expected []Expected) (Missed, bool) {
	if w <= r.record.Through || r.done[w] {
		// Through may have moved on since the caller looked.
		return Missed{}, false
	}
	age := now.Sub(WindowStart(w+1, r.settings.Window))
	closed := r.windows[w]
	if closed != nil {
		if age < r.settings.Late || closed.sending {
			return Missed{}, false
		}
		reason := Unconfirmed
		if !closed.stored {
			reason = NotStored
		}
		r.finish(w)
		return Missed{Window: w, Reason: reason, Counts: closed.counts}, true
	}
	counts := table.Sum(w)
	lacking, complete := table.Lacking(w, expected)
	if table.Knows(w) && (complete || age >= r.settings.fraction(completeFraction) && r.tolerable(counts, lacking)) && age < r.settings.Late {
		r.windows[w] = &window{counts: counts}
		return Missed{}, false
	}
	if age >= r.settings.fraction(giveUpFraction) {
		r.finish(w)
		return Missed{Window: w, Reason: Incomplete, Counts: counts}, true
	}
	return Missed{}, false
}

// tolerable reports whether the counts are within the tolerance although some are lacking.
func (r *Reporter) tolerable(counts, lacking map[string]uint64) bool {
	var total, missing uint64
	for _, n := range counts {
		total += n
	}
	for customer, n := range lacking {
		missing += n
		if float64(n) > r.settings.Off*float64(counts[customer]+n)+lackingSlack {
			return false
		}
	}
	return float64(missing) <= r.settings.Off*float64(total+missing)
}

// nextWrite returns the record to write, or whether it has to be read first.
func (r *Reporter) nextWrite(now time.Time) (*Write, bool) {
	if r.busy || now.Before(r.nextWriteAt) {
		return nil, false
	}
	if r.mustRead {
		r.busy = true
		return nil, true
	}
	record := r.record
	needed := false
	for _, w := range slices.Sorted(maps.Keys(r.windows)) {
		closed := r.windows[w]
		needed = needed || !closed.stored
		record.Windows = append(record.Windows, records.UsageWindow{Window: w, Counts: closed.counts})
	}
	record.CallMillis = r.slowest.Milliseconds()
	record.Done = slices.Sorted(maps.Keys(r.done))
	if !needed {
		return nil, false
	}
	r.busy = true
	return &Write{Record: record, Expected: r.revision}, false
}

// Written handles the result of a Write.
func (r *Reporter) Written(now time.Time, write Write, revision platform.Revision, err error) {
	r.busy = false
	switch {
	case errors.Is(err, platform.ErrConflict):
		r.mustRead = true
	case err != nil:
		r.nextWriteAt = now.Add(retryPause)
	case revision.Era() != r.token.Era():
		r.lost = true
	default:
		r.revision = revision
		r.markStored(write.Record)
	}
}

func (r *Reporter) markStored(record records.UsageReports) {
	for _, w := range record.Windows {
		if closed := r.windows[w.Window]; closed != nil {
			closed.stored = true
		}
	}
}

// RecordRead handles the entry of the record, which was read after a conflict.
func (r *Reporter) RecordRead(now time.Time, entry platform.Entry, err error) {
	r.busy = false
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		r.nextWriteAt = now.Add(retryPause)
		return
	}
	r.mustRead = false
	if entry.Revision == 0 {
		// The record is never removed: the store has lost it.
		r.lost = true
		return
	}
	last, err := records.DecodeUsageReports(entry)
	token := platform.Revision(last.Token)
	switch {
	case entry.Revision.Era() != r.token.Era(), token > r.token:
		r.lost = true
		return
	case err != nil, token.Era() != r.token.Era():
		// A write that a holder before the restore sent has arrived late.
	case token == r.token:
		// The response to this holder's write was lost.
		r.markStored(last)
	default:
		// The last holder's write arrived after this one had read the record.
		for w := r.record.Through + 1; w <= last.Through; w++ {
			if closed := r.windows[w]; closed == nil || !closed.stored {
				r.finish(w)
			}
		}
		r.adopt(last)
	}
	r.revision = entry.Revision
}

// nextSend returns the report to send now, or nil. The oldest window goes first.
func (r *Reporter) nextSend(now time.Time) *Send {
	if now.Before(r.nextSendAt) {
		return nil
	}
	for _, w := range slices.Sorted(maps.Keys(r.windows)) {
		closed := r.windows[w]
		left := WindowStart(w+1, r.settings.Window).Add(r.settings.Late).Sub(now)
		if !closed.stored || closed.sending || now.Before(closed.nextAt) || left <= 0 {
			continue
		}
		closed.sending = true
		closed.calls++
		closed.sentAt = now
		// Half of the rate is left for the calls of the last holder.
		r.nextSendAt = now.Add(time.Duration(2 / max(r.settings.CallsPerSecond, minCallsPerSecond) * float64(time.Second)))
		timeout := min(left, time.Duration(closed.calls)*r.settings.fraction(callFraction))
		return &Send{Window: w, Counts: closed.counts, Timeout: timeout}
	}
	return nil
}

// Sent handles the result of a Send. It reports whether the API has confirmed the report.
func (r *Reporter) Sent(now time.Time, w int64, err error) bool {
	closed := r.windows[w]
	if closed == nil {
		return err == nil
	}
	closed.sending = false
	if took := now.Sub(closed.sentAt); took > r.slowest || now.Sub(r.slowestAt) > slowMemory {
		r.slowest, r.slowestAt = took, now
	}
	switch {
	case err == nil:
		r.failures = 0
		r.finish(w)
		return true
	case errors.Is(err, platform.ErrFenced):
		r.lost = true
	case errors.Is(err, platform.ErrDutyLost):
		// The call was not sent.
		closed.calls--
		closed.nextAt = now.Add(retryPause)
	default:
		closed.nextAt = now.Add(retryPause)
		if r.failures == 0 {
			r.failingSince = now
		}
		r.failures++
	}
	return false
}
