package rollouts

import (
	"net/http"
	"time"

	"samphireferry.example/ferry/errkind"
)

// Result says what one attempt tells about the version that served it.
type Result uint8

// The results of an attempt.
const (
	// Ignored says nothing about the version.
	Ignored Result = iota
	// Answered is an answer that is not the version's failure.
	Answered
	// Failed is a failure of the version.
	Failed
)

// Classify returns the result of an attempt: the status of the answer, or the
// error when err is not nil. Statuses from 500 count as failures, except 503
// with a refusal that the caller of Classify has turned into an error. Errors
// count when the request reached the upstream and the fault is not the
// caller's.
func Classify(status int, err error) Result {
	if err == nil {
		if status >= http.StatusInternalServerError {
			return Failed
		}
		return Answered
	}
	switch errkind.Of(err) {
	case errkind.UpstreamFailed, errkind.UpstreamTimeout, errkind.AnswerMismatched, errkind.AnswerTruncated:
		return Failed
	default:
		return Ignored
	}
}

// routeCells counts the two versions of a roll-out on one route.
type routeCells struct {
	before cell
	after  cell
}

// Recorder counts the attempts of one roll-out. It may be used by several
// goroutines at once.
type Recorder struct {
	rollout    string
	generation uint64
	from       string
	to         string
	byRoute    map[string]*routeCells
}

// Record counts one attempt that has ended; Begin and End also notice one that
// does not end. The latency is that of the head of the answer. Attempts of
// other versions or routes are not counted. A nil Recorder counts nothing.
func (r *Recorder) Record(route, version string, result Result, latency time.Duration) {
	cell := r.cell(route, version)
	if cell != nil && result != Ignored {
		cell.add(result == Failed, latency)
	}
}

// cell returns the counters of a version on a route, or nil.
func (r *Recorder) cell(route, version string) *cell {
	if r == nil {
		return nil
	}
	cells := r.byRoute[route]
	switch {
	case cells == nil:
		return nil
	case version == r.to:
		return &cells.after
	case version == r.from:
		return &cells.before
	default:
		return nil
	}
}

// Recorders is an immutable set of recorders for traffic goroutines.
type Recorders struct{ byService map[string]*Recorder }

// Service returns the recorder of the service, or nil when it has no roll-out.
func (r *Recorders) Service(name string) *Recorder {
	if r == nil {
		return nil
	}
	return r.byService[name]
}
