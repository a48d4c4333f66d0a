package soak

import (
	"fmt"
	"sync"
)

// Ledger holds what upstreams and callers saw of each attempt.
type Ledger struct {
	mu       sync.Mutex
	attempts map[string]*attempt
	broken   []string
	served   int
	sent     int
}

type attempt struct {
	once    bool
	runs    int
	refused int
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{attempts: map[string]*attempt{}} }

// Sent notes an attempt that a caller is about to send.
func (l *Ledger) Sent(id string, once bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.attempts[id] = &attempt{once: once}
	l.sent++
}

// Ran notes that an upstream begins to run an attempt.
func (l *Ledger) Ran(id, upstream string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.attempts[id]
	if a == nil {
		l.breakLocked("upstream %s runs request %q, which nobody sent", upstream, id)
		return
	}
	a.runs++
	if a.once && a.runs > 1 {
		l.breakLocked("request %s ran %d times, the last time at %s", id, a.runs, upstream)
	}
	if a.refused != 0 {
		l.breakLocked("request %s runs at %s after the answer %d, which says that it never will", id, upstream, a.refused)
	}
}

// Answered notes the status that a caller got. NotRun says that it promises that the
// attempt has not run.
func (l *Ledger) Answered(id string, status int, notRun bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.attempts[id]
	if status == 200 {
		l.served++
		if a.runs == 0 {
			l.breakLocked("request %s was answered although it did not run", id)
		}
		return
	}
	if !notRun {
		return
	}
	a.refused = status
	if a.runs > 0 {
		l.breakLocked("request %s was answered %d, which says that it has not run, but it had", id, status)
	}
}

// Break notes a broken promise.
func (l *Ledger) Break(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.breakLocked(format, args...)
}

func (l *Ledger) breakLocked(format string, args ...any) {
	l.broken = append(l.broken, fmt.Sprintf(format, args...))
}

// Broken returns the broken promises.
func (l *Ledger) Broken() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.broken...)
}

// Counts returns how many attempts were sent and served so far.
func (l *Ledger) Counts() (sent, served int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sent, l.served
}
