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

// parts are what several pieces of an instance share.
type parts struct {
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
	// sharesConfirmed says whether the instance may use its own rate shares.
	sharesConfirmed atomic.Bool
	// departed is closed when a leaving instance holds no rate share any more.
	departed chan struct{}
	// state is the newest heartbeat of this instance. It must not be changed.
	state atomic.Pointer[entrypb.State]
	// status is the newest state for operators; nil before the first tick.
	status atomic.Pointer[controlStatus]
}

// storeAge returns the time since word from the store arrived by any path.
func (p *parts) storeAge(now time.Time) time.Duration {
	age, heard := p.dist.Snapshot().StoreAge(now)
	if !heard {
		return math.MaxInt64
	}
	return age
}

// StoreAge implements caller.Freshness.
func (p *parts) StoreAge() time.Duration { return p.storeAge(time.Now()) }
