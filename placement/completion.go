package placement

import (
	"math"
	"time"
)

const (
	// maxPaceAge is the age from which a stated pace says nothing. Until then its weight falls
	// evenly: the machine changes many times a second, and slow times of 600 ms are the longest
	// that are known.
	maxPaceAge = 600 * time.Millisecond
	// paceHorizon is how long the pace of a machine is expected to last, half of maxPaceAge.
	// Work that takes longer is delayed by the part within the horizon only.
	paceHorizon = maxPaceAge / 2
	// alternateWork is the expected work of another upstream than the preferred one, whose
	// caches may lack the object, in service times. Simulated: 1.2 evicts so many objects that
	// 1.4 times as many requests are refused, 2.0 refuses 1.2 times as many at busy upstreams.
	alternateWork = 1.5
	// maxAlternateUtilization is the number of requests per slot up to which another upstream
	// than the preferred one of the region takes a request: it must not wait there.
	maxAlternateUtilization = 1.0
	// maxCompletionQueuePerSlot is the number of waiting requests per slot up to which a request
	// may wait at the preferred upstream, as in services whose upstreams state no pace.
	maxCompletionQueuePerSlot = maxQueuePerSlot
	// utilizationDecay is the time in which the weight of a reported load falls to 1/e, about
	// four service times. The mean of all upstreams has the rest of the weight.
	utilizationDecay = 2 * time.Second
	// utilizationSmoothing is the weight of a new report in the mean utilization of a service.
	utilizationSmoothing = 0.02
)

// Choice tells how an upstream was chosen. It is zero in a service whose upstreams don't state
// their pace.
type Choice struct {
	// Paced is set in a service whose upstreams state their pace, First with the first choice
	// there.
	Paced, First bool
	// Order is the position of the upstream in the order of the object, from 1.
	Order int
	// Pace is how long work was expected to take there, against the usual time.
	Pace float64
}

// recordPace records how long work takes at the upstream, in percent of the usual time.
func (p *Pool) recordPace(now time.Time, t *target, pace int) {
	if pace <= 0 || p.settings.IgnorePace {
		return
	}
	t.pace, t.pacedAt = pace, now
	if s := p.services[t.upstream.Service]; s != nil {
		s.paced = true
	}
}

// observeUtilization adds the newest load report of the upstream to the mean of its service.
func (p *Pool) observeUtilization(t *target) {
	if s := p.services[t.upstream.Service]; s != nil {
		s.meanUtilization += utilizationSmoothing * (float64(t.reported)/float64(t.upstream.Slots) - s.meanUtilization)
	}
}

// paceNow returns how long work is expected to take at the upstream, against the usual time.
func (t *target) paceNow(now time.Time) float64 {
	age := max(now.Sub(t.pacedAt), 0)
	if t.pace == 0 || age >= maxPaceAge {
		return 1
	}
	weight := 1 - float64(age)/float64(maxPaceAge)
	return 1 + (float64(t.pace)/100-1)*weight
}

// stretched returns how long something takes at the pace that takes the usual time otherwise.
func stretched(usual time.Duration, pace float64) time.Duration {
	within := time.Duration(float64(paceHorizon) / pace)
	if usual <= within {
		return time.Duration(float64(usual) * pace)
	}
	return paceHorizon + usual - within
}

// expectedRequests estimates the number of requests at the upstream from all instances. A load
// report counts the less the older it is, and the mean of the service the more.
func (p *Pool) expectedRequests(now time.Time, s *service, t *target) float64 {
	mean := s.meanUtilization * float64(t.upstream.Slots)
	age := now.Sub(t.reportedAt)
	if age > maxReportAge {
		return max(float64(t.inFlight), mean)
	}
	weight := math.Exp(-float64(age) / float64(utilizationDecay))
	return max(float64(t.inFlight), mean+(float64(t.reported)-mean)*weight+float64(t.inFlight-t.inFlightAtReport))
}

// considered returns the number of upstreams in the order of the object that this instance
// considers. In a service whose upstreams state their pace, half of the instances consider one
// more, so that the excess of an object doesn't go to the same one from all instances at once.
func (p *Pool) considered(s *service, object uint64) int {
	if !s.paced {
		return upstreamsPerObject
	}
	return upstreamsPerObject + int(mix(object^p.salt)&1)
}

// chooseByCompletion returns the upstream that is expected to complete the request first, of the
// first few in the order of the object, or nil if none has room. The preferred one is chosen
// without a look at the others if it has a free slot and isn't slow. Which ones are passed over is
// as in choose. Another region takes a request only within the spill limit, and not for the
// pace alone: only while the preferred upstream has none or a long queue.
func (p *Pool) chooseByCompletion(now time.Time, s *service, candidates *ranking, q Query) (*target, Choice) {
	var best *target
	var bestTime time.Duration
	var queued bool
	choice := Choice{Paced: true, First: !s.announced}
	maxUtilization := s.maxUtilization(q.TimeLeft)
	serviceTime := max(s.serviceTime, minServiceTime)
	eligible, considered := 0, p.considered(s, q.Object)
	for n := range candidates.len() {
		t := candidates.at(n)
		if !p.withinColdLimit(now, t) || !q.admits(t.upstream.ID) {
			continue
		}
		eligible++
		if eligible > considered {
			break
		}
		if now.Before(t.shedUntil) || t.withoutConnection() {
			continue
		}
		work, limit := 1.0, 1+maxCompletionQueuePerSlot
		otherRegion := t.region != candidates.at(0).region
		switch {
		case otherRegion:
			work, limit = alternateWork, maxSecondaryUtilization
		case eligible > 1:
			work, limit = alternateWork, maxAlternateUtilization
		}
		utilization := (p.expectedRequests(now, s, t) + 1) / float64(t.upstream.Slots)
		if utilization > min(limit, maxUtilization) {
			continue
		}
		pace := t.paceNow(now)
		if eligible == 1 && utilization <= 1 && pace <= 1 {
			s.announced = true
			choice.Order, choice.Pace = eligible, pace
			return t, choice
		}
		expected := stretched(time.Duration((work+max(utilization-1, 0))*float64(serviceTime)), pace)
		if best != nil && (expected >= bestTime || otherRegion && !queued) || otherRegion && !s.spill.tryTake() {
			continue
		}
		best, bestTime, queued = t, expected, utilization > 1+maxPreferredQueuePerSlot
		choice.Order, choice.Pace = eligible, pace
	}
	s.announced = s.announced || best != nil
	return best, choice
}
