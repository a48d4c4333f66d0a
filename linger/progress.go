package linger

import "time"

const (
	// idleTimeout is how long a peer that has acknowledged all bytes may take to close.
	idleTimeout = 500 * time.Millisecond
	// stallTimeout is how long a peer may acknowledge none of the bytes that it has not got yet. It is longer
	// than a lost packet takes to be sent again.
	stallTimeout = 2 * time.Second
	// maxTime bounds the time that a connection lingers. A send buffer of 4 MiB takes as long at 1 Mbit/s.
	maxTime = 30 * time.Second
)

// unknown is the number of unacknowledged bytes where the system does not tell it.
const unknown = -1

// progress decides how long a connection lingers.
type progress struct {
	began time.Time
	// moved is when bytes were last acknowledged, unsent how many were left then, or unknown.
	moved  time.Time
	unsent int
}

// newProgress returns the progress of a connection that lingers from now on. unsent is the number of bytes
// that the peer has not acknowledged, or unknown.
func newProgress(now time.Time, unsent int) progress {
	return progress{began: now, moved: now, unsent: unsent}
}

// ended reports whether the connection is to be closed although the peer has not closed.
func (p *progress) ended(now time.Time, unsent int) bool {
	if unsent != p.unsent {
		p.unsent, p.moved = unsent, now
	}
	timeout := stallTimeout
	if unsent == 0 {
		timeout = idleTimeout
	}
	return now.Sub(p.moved) >= timeout || now.Sub(p.began) >= maxTime
}
