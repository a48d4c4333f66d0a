package daemon

import (
	"math"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"samphireferry.example/ferry/admission"
	"samphireferry.example/ferry/config/static"
	"samphireferry.example/ferry/distribution"
	"samphireferry.example/ferry/entryinstance"
	"samphireferry.example/ferry/invariant"
	"samphireferry.example/ferry/platform"
	"samphireferry.example/ferry/rpc/entrypb"
	"samphireferry.example/ferry/telemetry"
	"samphireferry.example/ferry/upstream"
)

// dependencies holds what several components of an instance share.
type dependencies struct {
	settings   *static.Settings
	identity   *entrypb.Identity
	log        *zap.Logger
	metrics    *telemetry.Metrics
	invariants *invariant.Checker
	views      *views
	store      platform.Store
	lister     platform.InstanceLister
	peers      *entryinstance.Pool
	upstreams  *upstream.Client
	limiter    *admission.Limiter
	prober     *upstream.Prober
	stalls     *stallDetector
	// dist holds the records of the store. Only its Snapshot may be used
	// outside the control goroutine.
	dist *distribution.State
	// sharesConfirmed reports whether the instance may use its rate shares.
	sharesConfirmed atomic.Bool
	// departed is closed when a leaving instance no longer holds rate shares.
	departed chan struct{}
	// state is the newest heartbeat of this instance. It must not be modified.
	state atomic.Pointer[entrypb.State]
	// status is the newest control status for operators; nil before the first tick.
	status atomic.Pointer[controlStatus]
}

// storeAge returns the age of the newest update from the store, received directly
// or through peers, or the longest duration if there has been none.
func (d *dependencies) storeAge(now time.Time) time.Duration {
	age, known := d.dist.Snapshot().StoreAge(now)
	if !known {
		return math.MaxInt64
	}
	return age
}

// StoreAge implements caller.StoreAgeSource.
func (d *dependencies) StoreAge() time.Duration { return d.storeAge(time.Now()) }
