package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"samphireferry.example/ferry/registry"
	"samphireferry.example/ferry/routing"
)

// The bounds of passive health checks.
const (
	// failuresToEject is the number of failures in a row that eject an upstream.
	failuresToEject = 3
	// minEjection and maxEjection bound the duration of an ejection, which doubles with
	// each consecutive ejection until a successful response arrives.
	minEjection = 1 * time.Second
	maxEjection = 8 * time.Second
	// shedPause is how long an upstream is skipped after it shed a request, at least.
	shedPause = 100 * time.Millisecond
	// maxPause bounds the pause that an upstream states with a refusal.
	maxPause = 30 * time.Second
	// maxReportAge is the age after which a load report is ignored.
	maxReportAge = 3 * time.Second
	// serviceTimeSmoothing is the weight of a new sample in the average service time.
	serviceTimeSmoothing = 0.02
)

// target is one upstream and this instance's view of it. The mutex of the pool guards it.
type target struct {
	upstream *registry.Upstream
	endpoint *routing.Upstream
	region   string
	hash     uint64
	// perSlot is the inverse of the number of slots.
	perSlot float64
	// part is the part of the objects for which the upstream takes part in the stable assignment:
	// 1, but for those that join and for those that have left.
	part float64

	inFlight int
	// reported is the number of requests in the newest load report, of which
	// inFlightAtReport came from this instance.
	reported         int
	inFlightAtReport int
	reportedAt       time.Time
	// pace is how long work takes at the upstream, in percent of the usual time, as it stated
	// at pacedAt; 0 if it never did.
	pace    int
	pacedAt time.Time

	// lastResponseAt is when the last response arrived that was no failure; a refusal
	// counts.
	lastResponseAt       time.Time
	consecutiveFailures  int
	consecutiveEjections int
	ejectedUntil         time.Time
	shedUntil            time.Time
	// leaving is set once the upstream has stated in a response that it leaves.
	leaving bool
	cold    coldLimiter
}

func newTarget(u *registry.Upstream, settings Settings) *target {
	endpoint := endpointOf(u, settings)
	return &target{upstream: u, endpoint: &endpoint, region: endpoint.Region, hash: xxhash.Sum64String(u.ID), perSlot: 1 / float64(max(u.Slots, 1)), part: 1}
}

func (t *target) place() place { return place{t.upstream.FailureDomain, t.region} }

// setEndpoint replaces the endpoint if it has changed. Leases keep the one that they got.
func (t *target) setEndpoint(next routing.Upstream) {
	if next == *t.endpoint {
		return
	}
	changed := next
	t.endpoint = &changed
	t.perSlot = 1 / float64(max(changed.Slots, 1))
}

// load estimates the number of requests at the upstream from all entry instances. Before its
// first response, each other instance of the region is assumed to send it as many as this one
// sends to an upstream of its region on average.
func (p *Pool) load(now time.Time, s *service, t *target) float64 {
	switch {
	case now.Sub(t.reportedAt) <= maxReportAge:
		return float64(max(t.inFlight, t.reported+t.inFlight-t.inFlightAtReport))
	case t.lastResponseAt.IsZero() && p.settings.Senders > 1:
		return float64(t.inFlight) + float64(p.settings.Senders-1)*s.meanInFlight(t.region)
	}
	return float64(t.inFlight)
}

// meanInFlight returns the mean number of requests of this instance at the upstreams of the
// region.
func (s *service) meanInFlight(region string) float64 {
	inFlight, upstreams := 0, 0
	for _, t := range s.targets {
		if t.region == region {
			inFlight += t.inFlight
			upstreams++
		}
	}
	return float64(inFlight) / float64(max(upstreams, 1))
}

// accepts reports whether the upstream is ready and has not stated that it leaves.
func (t *target) accepts() bool { return t.upstream.State == registry.Ready && !t.leaving }

// usable reports whether the upstream accepts requests and is not ejected.
func (t *target) usable(now time.Time) bool { return t.accepts() && !now.Before(t.ejectedUntil) }

// withoutConnection reports whether the requests in flight use all connections to the
// upstream: another request would be decided now and sent only after a wait.
func (t *target) withoutConnection() bool {
	limit := t.endpoint.Connections
	return limit > 0 && t.inFlight >= limit
}

// recordFailure counts a failure and ejects the upstream after failuresToEject in a row.
func (t *target) recordFailure(now time.Time) {
	t.consecutiveFailures++
	if t.consecutiveFailures < failuresToEject {
		return
	}
	t.consecutiveFailures = 0
	ejection := min(minEjection<<min(t.consecutiveEjections, 8), maxEjection)
	t.consecutiveEjections++
	t.ejectedUntil = now.Add(ejection)
}

// pauseFor makes the upstream get no request until the pause is over.
func (t *target) pauseFor(now time.Time, pause time.Duration) {
	if until := now.Add(pause); until.After(t.shedUntil) {
		t.shedUntil = until
	}
}

func (t *target) recordSuccess() {
	t.consecutiveFailures = 0
	t.consecutiveEjections = 0
}

func (t *target) recordLoad(now time.Time, load int) {
	t.reported = load
	t.inFlightAtReport = t.inFlight
	t.reportedAt = now
}

// rank returns the rendezvous hash of the upstream for the object; the highest rank is
// preferred.
func (t *target) rank(object uint64) uint64 { return mix(t.hash ^ object) }

// mix hashes a number with the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
