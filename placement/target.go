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
	// minEjection and maxEjection bound the time of an ejection, which doubles
	// with each one until an answer comes.
	minEjection = 1 * time.Second
	maxEjection = 8 * time.Second
	// shedPause is how long an upstream that refused unrun is left out.
	shedPause = 100 * time.Millisecond
	// reportAge is the age after which a load report says nothing.
	reportAge = 3 * time.Second
	// workSmoothing is the weight of a new sample in the average time to an answer.
	workSmoothing = 0.02
)

// target is one upstream with what this instance knows of it. The mutex of the
// pool guards it.
type target struct {
	upstream *registry.Upstream
	route    *routing.Upstream
	region   string
	hash     uint64

	inFlight int
	// reported is the load of the newest report, of which inFlightThen were from
	// this instance.
	reported     int
	inFlightThen int
	reportedAt   time.Time

	// answeredAt is when the last answer came.
	answeredAt   time.Time
	failures     int
	ejections    int
	ejectedUntil time.Time
	shedUntil    time.Time
	cold         coldGate
}

func newTarget(u *registry.Upstream, route *routing.Upstream) *target {
	return &target{upstream: u, route: route, region: route.Region, hash: xxhash.Sum64String(u.ID)}
}

// load estimates the requests at the upstream from all entry instances.
func (t *target) load(now time.Time) int {
	if now.Sub(t.reportedAt) > reportAge {
		return t.inFlight
	}
	return max(t.inFlight, t.reported+t.inFlight-t.inFlightThen)
}

// usable says whether the upstream may get requests now.
func (t *target) usable(now time.Time) bool {
	return t.upstream.State == registry.Ready && !now.Before(t.ejectedUntil)
}

func (t *target) fail(now time.Time) {
	t.failures++
	if t.failures < failuresToEject {
		return
	}
	t.failures = 0
	pause := min(minEjection<<min(t.ejections, 8), maxEjection)
	t.ejections++
	t.ejectedUntil = now.Add(pause)
}

func (t *target) succeed() {
	t.failures = 0
	t.ejections = 0
}

func (t *target) report(now time.Time, load int) {
	t.reported = load
	t.inFlightThen = t.inFlight
	t.reportedAt = now
}

// rank orders the candidates of an object: the highest comes first.
func (t *target) rank(object uint64) uint64 { return mix(t.hash ^ object) }

// mix spreads the bits of a number, after the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
