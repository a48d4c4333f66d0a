package soak

import (
	"fmt"
	"sync"
)

// Ledger records what upstreams and callers observed of each attempt, and the violated
// guarantees. It is safe for concurrent use.
type Ledger struct {
	mu         sync.Mutex
	attempts   map[string]*attempt
	violations []string
	served     int
	sent       int
}

type attempt struct {
	atMostOnce bool
	// instance is the address of the instance that got it.
	instance string
	runs     int
	// notRunStatus is the status of the response that stated that the attempt has not
	// run; 0 when there was none.
	notRunStatus int
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{attempts: map[string]*attempt{}} }

// RecordSent records an attempt that a caller is about to send.
func (l *Ledger) RecordSent(id string, atMostOnce bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.attempts[id] = &attempt{atMostOnce: atMostOnce}
	l.sent++
}

// RecordInstance records the instance to which an attempt is sent.
func (l *Ledger) RecordInstance(id, address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.attempts[id].instance = address
}

// instanceOf returns the address of the instance that got the attempt, or an empty string
// for an unknown one.
func (l *Ledger) instanceOf(id string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a := l.attempts[id]; a != nil {
		return a.instance
	}
	return ""
}

// RecordRun records that an upstream starts to run an attempt.
func (l *Ledger) RecordRun(id, upstream string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.attempts[id]
	if a == nil {
		l.recordViolationLocked("upstream %s runs request %q, which no caller sent", upstream, id)
		return
	}
	a.runs++
	if a.atMostOnce && a.runs > 1 {
		l.recordViolationLocked("request %s ran %d times, the last time at %s", id, a.runs, upstream)
	}
	if a.notRunStatus != 0 {
		l.recordViolationLocked("request %s runs at %s after a response with status %d, which states that it has not run and never will", id, upstream, a.notRunStatus)
	}
}

// RecordResponse records the status that a caller received; notRun reports whether it
// guarantees that the attempt has not run.
func (l *Ledger) RecordResponse(id string, status int, notRun bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.attempts[id]
	if status == 200 {
		l.served++
		if a.runs == 0 {
			l.recordViolationLocked("request %s got a successful response although it did not run", id)
		}
		return
	}
	if !notRun {
		return
	}
	a.notRunStatus = status
	if a.runs > 0 {
		l.recordViolationLocked("request %s got a response with status %d, which states that it has not run, but it had", id, status)
	}
}

// RecordViolation records the description of a violated guarantee.
func (l *Ledger) RecordViolation(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recordViolationLocked(format, args...)
}

func (l *Ledger) recordViolationLocked(format string, args ...any) {
	l.violations = append(l.violations, fmt.Sprintf(format, args...))
}

// Violations returns a description of each violated guarantee.
func (l *Ledger) Violations() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.violations...)
}

// Counts returns the number of attempts that were sent and served so far.
func (l *Ledger) Counts() (sent, served int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sent, l.served
}
