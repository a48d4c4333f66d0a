package overload

import (
	"maps"
	"math"
	"slices"
	"sync"
	"time"
)

// MinFraction is the fraction of the requests of each priority that is let through whatever the
// utilization. It keeps the least urgent alive, and a return of room visible.
const MinFraction = 0.1

const (
	// The bounds of the utilization, in requests for each slot, at which the least urgent priority is
	// limited. Objects are not spread evenly: at a mean of 0.8 a good part of the upstreams has a
	// queue. At 1.3 requests wait for about a third of a service time.
	minTarget, maxTarget = 0.8, 1.3
	// timePart is the part of the shortest timeout of more urgent requests that may pass at an upstream with the mean
	// utilization. The busiest upstreams have about twice the mean.
	timePart = 0.5
	// mostUrgentMargin is by how much the target of the most urgent priority is higher.
	mostUrgentMargin = 0.45
	// The gains of the fractions, for each second and unit of utilization. Reports are up to 1.5 s old, and the
	// utilization follows the requests within a service time, so that more would oscillate.
	fallGain, riseGain = 1.6, 0.8
	// maxStep bounds the time between two requests that counts as one step.
	maxStep = 500 * time.Millisecond
	// idleReset is the time without requests after which the fractions say nothing any more.
	idleReset = 5 * time.Second
	// roundingTolerance is the relative error that sums of rates may have.
	roundingTolerance = 1e-6
	// roomInterval is the time between two readings of the utilization.
	roomInterval = 100 * time.Millisecond
)

// Room is what an instance knows about the upstreams of a service.
type Room struct {
	// Known is unset while no upstream has stated its load.
	Known bool
	// Utilization is the number of requests that run or wait there, for each slot.
	Utilization float64
	// ServiceTime is the time that an upstream works on a request, 0 if it is not known.
	ServiceTime time.Duration
}

// Request is a request that needs a decision.
type Request struct {
	Service  string
	Priority int
	Customer string
	// Object is the hash of the object that the request is about. HasObject is unset if there is
	// none.
	Object    uint64
	HasObject bool
	// Timeout is that of the route; Left is the time that the caller states, 0 if it states none.
	Timeout, Left time.Duration
	// Objective is the time within which the caller wants its response, 0 if there is none.
	Objective time.Duration
}

// Reason says why a request was let through or refused.
type Reason uint8

// The reasons.
const (
	// Unlimited means that the priority of the request is not limited.
	Unlimited Reason = iota
	// WithinShare means that the request was let through although its priority is limited.
	WithinShare
	// OverPriority means that the room is for more urgent requests.
	OverPriority
	// OverCustomer means that the room is for customers with fewer requests.
	OverCustomer
	// EarlyReturn means that the request has returned before the time that it was told.
	EarlyReturn
)

// String returns the name of the reason in metrics and logs.
func (r Reason) String() string {
	return [...]string{"unlimited", "within_share", "priority", "customer", "early"}[r]
}

// Decision is the result for one request.
type Decision struct {
	Admitted bool
	Reason   Reason
	// RetryAfter is the time after which a refused caller should return.
	RetryAfter time.Duration
}

// Gate decides for all services at one instance. It is safe for concurrent use.
type Gate struct {
	random func() float64

	mu       sync.Mutex
	services map[string]*service
}

// NewGate returns a gate that limits nothing. The random function returns numbers from 0 to 1.
func NewGate(random func() float64) *Gate {
	return &Gate{random: random, services: map[string]*service{}}
}

// Priorities holds the priorities that requests for a service may have, with the shortest timeout of
// each.
type Priorities map[int]time.Duration

// Configure replaces the services. One whose requests all have the same priority is not limited.
func (g *Gate) Configure(services map[string]Priorities) {
	g.mu.Lock()
	defer g.mu.Unlock()
	old := g.services
	g.services = map[string]*service{}
	for name, priorities := range services {
		if len(priorities) < 2 {
			continue
		}
		if known := old[name]; known != nil && maps.Equal(known.priorities, priorities) {
			g.services[name] = known
			continue
		}
		g.services[name] = newService(priorities)
	}
}

// Limits reports whether requests for the service need a decision.
func (g *Gate) Limits(service string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.services[service] != nil
}

// Decide decides about a request. It calls room when what it knows of the service is too old.
func (g *Gate) Decide(now time.Time, r Request, room func() Room) Decision {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.services[r.Service]
	if s == nil {
		return Decision{Admitted: true}
	}
	s.step(now, room)
	l := s.level(r.Priority)
	ret := l.returnOf(r)
	if l.fraction >= 1 {
		l.observe(now, r.Customer, ret)
		return Decision{Admitted: true}
	}
	if ret == early {
		return Decision{Reason: EarlyReturn, RetryAfter: r.bounded(l.wait(r) - r.elapsed())}
	}
	c := l.observe(now, r.Customer, ret)
	share := l.share(now, c)
	if g.random() < c.chance(now, share, ret == returned) {
		return Decision{Admitted: true, Reason: WithinShare}
	}
	reason := OverPriority
	if share < l.fraction*(1-roundingTolerance) {
		reason = OverCustomer
	}
	return Decision{Reason: reason, RetryAfter: g.retryAfter(l, r)}
}

// RetryAfter returns the time after which a request should return that was let through and found
// no upstream, or 0 if the service is not limited.
func (g *Gate) RetryAfter(r Request) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.services[r.Service]
	if s == nil {
		return 0
	}
	return g.retryAfter(s.level(r.Priority), r)
}

// retryAfter returns the wait of the request, longer by a random part, since several callers may
// have requests for the same object.
func (g *Gate) retryAfter(l *level, r Request) time.Duration {
	at := place(r)
	if !r.HasObject {
		at = g.random()
	}
	told := time.Duration(float64(l.waitAt(r, at)) * (1 + randomPart*g.random()))
	return r.bounded(told)
}

// Fractions returns the fraction of each priority of the service that is let through, or nil if the service is not limited.
func (g *Gate) Fractions(service string) map[int]float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.services[service]
	if s == nil {
		return nil
	}
	fractions := map[int]float64{}
	for _, l := range s.levels {
		fractions[l.priority] = l.fraction
	}
	return fractions
}

// service is the state of one service.
type service struct {
	priorities Priorities
	// levels holds the priorities, the most urgent first.
	levels    []*level
	room      Room
	readAt    time.Time
	steppedAt time.Time
}

func newService(priorities Priorities) *service {
	s := &service{priorities: priorities}
	shortest := time.Duration(math.MaxInt64)
	sorted := slices.Sorted(maps.Keys(priorities))
	for n, priority := range sorted {
		urgency := 1 - float64(n)/float64(len(sorted)-1)
		if n < len(sorted)-1 {
			shortest = min(shortest, priorities[priority])
		}
		s.levels = append(s.levels, &level{
			priority:  priority,
			protects:  shortest,
			margin:    mostUrgentMargin * urgency,
			fraction:  1,
			customers: map[string]*customer{},
		})
	}
	return s
}

// level returns the level of the priority, or the next less urgent one: the configuration of the
// request may be newer than that of the gate.
func (s *service) level(priority int) *level {
	for _, l := range s.levels {
		if l.priority >= priority {
			return l
		}
	}
	return s.levels[len(s.levels)-1]
}

// step moves the fractions towards the targets.
func (s *service) step(now time.Time, room func() Room) {
	if now.Sub(s.readAt) >= roomInterval {
		s.room, s.readAt = room(), now
	}
	elapsed := now.Sub(s.steppedAt)
	if elapsed <= 0 {
		return
	}
	s.steppedAt = now
	mayFall := true
	for _, l := range slices.Backward(s.levels) {
		if elapsed > idleReset {
			l.fraction = 1
		}
		l.step(min(elapsed, maxStep), s.room, mayFall)
		mayFall = mayFall && l.fraction <= MinFraction
	}
}

// level is the state of one priority of a service.
type level struct {
	priority int
	// protects is the shortest timeout of the more urgent requests, or of its own for the most urgent
	// priority. margin is added to the target that follows from it.
	protects time.Duration
	margin   float64
	// fraction is the part of the callers that is let through, with their first request or a return.
	fraction  float64
	customers map[string]*customer
}

// step moves the fraction towards the target, down only if mayFall is set.
func (l *level) step(elapsed time.Duration, room Room, mayFall bool) {
	over := room.Utilization - l.target(room)
	if !room.Known {
		over = -minTarget
	}
	seconds := elapsed.Seconds()
	switch {
	case over <= 0:
		l.fraction -= riseGain * over * l.fraction * seconds
	case mayFall:
		l.fraction *= math.Exp(-fallGain * over * seconds)
	}
	l.fraction = min(max(l.fraction, MinFraction), 1)
}

// target returns the utilization at which the priority is limited: that at which more urgent requests
// still get their responses in time.
func (l *level) target(room Room) float64 {
	target := maxTarget
	if room.ServiceTime > 0 {
		target = timePart * float64(l.protects) / float64(room.ServiceTime)
	}
	return min(max(target, minTarget), maxTarget) + l.margin
}
