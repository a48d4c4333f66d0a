package upstream

import (
	"maps"
	"net/http"
	"slices"
	"sync"
)

// maxSeen is the maximum number of requests whose headers are kept.
const maxSeen = 1024

// Seen is the head of a request that reached the stand-in.
type Seen struct {
	Method   string      `json:"method"`
	Path     string      `json:"path"`
	RawQuery string      `json:"raw_query,omitempty"`
	Header   http.Header `json:"header"`
}

// Snapshot is the state of a ledger.
type Snapshot struct {
	// Arrived counts requests whose header was received; Executed those that ran.
	Arrived  int `json:"arrived"`
	Executed int `json:"executed"`
	// Executions counts the runs per idempotency key.
	Executions map[string]int `json:"executions"`
	// Cancelled counts requests that ended by cancellation or deadline.
	Cancelled int `json:"cancelled"`
	// IncompleteBodies counts requests whose body was incomplete; they did not run.
	IncompleteBodies int `json:"broken"`
	// Shed counts requests that were shed.
	Shed int `json:"shed"`
	// OverSlots counts requests that arrived while every slot was in use.
	OverSlots int `json:"over_slots"`
	// MaxInUse is the largest number of requests that held a slot at the same time.
	MaxInUse int `json:"max_in_use"`
	// BodyBytes is the total size in bytes of the request bodies of all executions.
	BodyBytes int64 `json:"body_bytes"`
	// Seen holds the most recent requests, oldest first.
	Seen []Seen `json:"seen"`
}

// Ledger records what reached a stand-in. It is safe for concurrent use.
type Ledger struct {
	mu    sync.Mutex
	state Snapshot
}

func newLedger() *Ledger {
	return &Ledger{state: Snapshot{Executions: map[string]int{}}}
}

// Snapshot returns a copy of the state.
func (l *Ledger) Snapshot() Snapshot {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.state
	s.Executions = maps.Clone(s.Executions)
	s.Seen = slices.Clone(s.Seen)
	return s
}

// MaxExecutions returns the largest number of runs of one idempotency key.
func (s Snapshot) MaxExecutions() int {
	most := 0
	for _, n := range s.Executions {
		most = max(most, n)
	}
	return most
}

func (l *Ledger) update(change func(s *Snapshot)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(&l.state)
}

func (l *Ledger) recordArrival(r *http.Request) {
	seen := Seen{r.Method, r.URL.EscapedPath(), r.URL.RawQuery, r.Header.Clone()}
	l.update(func(s *Snapshot) {
		s.Arrived++
		if len(s.Seen) == maxSeen {
			s.Seen = slices.Delete(s.Seen, 0, maxSeen/2)
		}
		s.Seen = append(s.Seen, seen)
	})
}

func (l *Ledger) recordExecution(r *http.Request, bodyBytes int64) {
	l.update(func(s *Snapshot) {
		s.Executed++
		s.BodyBytes += bodyBytes
		if key := r.Header.Get("Idempotency-Key"); key != "" {
			s.Executions[key]++
		}
	})
}

func (l *Ledger) recordInUse(n int) {
	l.update(func(s *Snapshot) { s.MaxInUse = max(s.MaxInUse, n) })
}

func (l *Ledger) recordCancelled()      { l.update(func(s *Snapshot) { s.Cancelled++ }) }
func (l *Ledger) recordIncompleteBody() { l.update(func(s *Snapshot) { s.IncompleteBodies++ }) }
func (l *Ledger) recordShed()           { l.update(func(s *Snapshot) { s.Shed++ }) }
func (l *Ledger) recordOverSlots()      { l.update(func(s *Snapshot) { s.OverSlots++ }) }
