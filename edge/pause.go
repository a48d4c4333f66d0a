package edge

import (
	"net/http"
	"time"

	"samphireferry.example/ferry/placement"
	"samphireferry.example/ferry/platform/headers"
)

// observePause records the time after which the upstream, which has refused the request, may
// get another one.
func observePause(lease *placement.Lease, header http.Header) {
	if after, ok := headers.ReadRetryAfter(header); ok {
		lease.PauseFor(time.Now(), after)
	}
}

// pauseLeft returns the time until the first upstream that may serve the request may be asked
// again after a refusal, including upstreams that have refused this request.
func (x *exchange) pauseLeft() time.Duration {
	versions := x.view.versions[x.service.Name]
	left := func(object uint64, allows func(version string) bool) time.Duration {
		q := x.placementQuery(object, allows)
		q.Tried = nil
		return x.deps.pool.PauseLeft(time.Now(), q)
	}
	if !x.prefersNew {
		return left(x.objectHash(), versions.allows(false))
	}
	ofNew := left(versions.placementKey(x.objectHash()), versions.allows(true))
	if versions.mayFallBack(placement.AllBusy) {
		return min(ofNew, left(x.objectHash(), versions.allows(false)))
	}
	return ofNew
}
