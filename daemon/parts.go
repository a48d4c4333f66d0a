package daemon

import (
	"sync/atomic"

	"go.uber.org/zap"

	"samphireferry.example/ferry/admission"
	"samphireferry.example/ferry/config/static"
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
	// state is the newest heartbeat of this instance. It must not be changed.
	state atomic.Pointer[entrypb.State]
}
