package shutdown

import "time"

// MaxAnnounce bounds the time between the announcement of a stop and the close of the listener.
const MaxAnnounce = 1500 * time.Millisecond

// The parts of the grace period.
const (
	announceDivisor = 4
	// The last sixth is for responses, the last tenth for the end of the instance, and half of that for
	// the end of the process.
	responseDivisor = 6
	endDivisor      = 10
	processDivisor  = 20
)

// Plan is the budget of one planned stop.
type Plan struct {
	began time.Time
	grace time.Duration
}

// NewPlan returns the plan of a stop that began at the time and ends by force after the grace
// period.
func NewPlan(began time.Time, grace time.Duration) Plan { return Plan{began: began, grace: grace} }

// CloseListener returns when the listener for callers is closed.
func (p Plan) CloseListener() time.Time {
	return p.began.Add(min(p.grace/announceDivisor, MaxAnnounce))
}

// EndRequests returns when the requests that still run are ended.
func (p Plan) EndRequests() time.Time { return p.began.Add(p.grace - p.grace/endDivisor) }

// CloseConnections returns when all connections are closed, whatever happens on them.
func (p Plan) CloseConnections() time.Time { return p.began.Add(p.grace - p.grace/processDivisor) }

// Allows reports whether a request with the deadline, or another attempt of it, may begin.
func (p Plan) Allows(deadline time.Time) bool {
	return !deadline.After(p.began.Add(p.grace - p.grace/responseDivisor))
}
