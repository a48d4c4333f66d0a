package rollouts

import (
	"net/http"
	"time"

	"samphireferry.example/ferry/errkind"
)

// Result classifies an attempt as evidence about the version that served it.
type Result uint8

// The results of an attempt.
const (
	// Ignored is no evidence about the version.
	Ignored Result = iota
	// Answered is a response that is not a failure of the version.
	Answered
	// Failed is a failure of the version.
	Failed
)

// Classify returns the result of an attempt from its HTTP status, or from its
// error when err is not nil. Statuses from 500 count as failures, except 503
// with a refusal that the caller of Classify has converted to an error. Errors
// count when the request reached the upstream and the client did not cause the
// error.
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

// routeCounters holds the counters of both versions of a roll-out on one route.
type routeCounters struct {
	oldVersion counters
	newVersion counters
}

// Recorder counts the attempts of one roll-out. It is safe for concurrent use.
type Recorder struct {
	rollout    string
	generation uint64
	from       string
	to         string
	byRoute    map[string]*routeCounters
}

// Record counts one attempt that has ended; Begin and End also detect one that
// does not end. The latency is the time until the response head. Attempts of
// other versions or routes and attempts with the result Ignored are not counted.
// A nil Recorder counts nothing.
func (r *Recorder) Record(route, version string, result Result, latency time.Duration) {
	counters := r.counters(route, version)
	if counters != nil && result != Ignored {
		counters.record(result == Failed, latency)
	}
}

// counters returns the counters of a version on a route, or nil if they are not
// compared.
func (r *Recorder) counters(route, version string) *counters {
	if r == nil {
		return nil
	}
	routeCounters := r.byRoute[route]
	switch {
	case routeCounters == nil:
		return nil
	case version == r.to:
		return &routeCounters.newVersion
	case version == r.from:
		return &routeCounters.oldVersion
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
