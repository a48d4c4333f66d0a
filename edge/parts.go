package edge

import (
	"sync/atomic"

	"go.uber.org/zap"

	"samphireferry.example/ferry/admission"
	"samphireferry.example/ferry/buffers"
	"samphireferry.example/ferry/config/static"
	"samphireferry.example/ferry/connlimit"
	"samphireferry.example/ferry/entryinstance"
	"samphireferry.example/ferry/headgate"
	"samphireferry.example/ferry/linger"
	"samphireferry.example/ferry/overload"
	"samphireferry.example/ferry/placement"
	"samphireferry.example/ferry/platform"
	"samphireferry.example/ferry/rpc/entrypb"
	"samphireferry.example/ferry/telemetry"
	"samphireferry.example/ferry/throttle"
	"samphireferry.example/ferry/upstream"
)

// dependencies holds what the components of an instance share.
type dependencies struct {
	// settings are the settings at the start of the process.
	settings *static.EdgeSettings
	// bounds are the latest reloadable settings.
	bounds    atomic.Pointer[static.EdgeBounds]
	identity  *entrypb.Identity
	log       *zap.Logger
	metrics   *telemetry.Metrics
	views     *views
	store     platform.Store
	peers     *entryinstance.Pool
	upstreams *upstream.Client
	pool      *placement.Pool
	retries   *retryBudgets
	throttle  *throttle.Throttle
	permits   *permits
	limiter   *admission.Limiter
	gate      *overload.Gate
	// meter counts attempts for usage reports; nil where the deployment does not ask for them.
	meter *usageMeter
	// buffers is the memory for the heads and bodies of requests and the bodies of responses.
	buffers     *buffers.Budget
	heads       *headgate.Options
	callerConns *connlimit.Table
	// otherConns are the connections of the directory, the readiness check and the metrics.
	otherConns *connlimit.Table
	// closer closes the connections of all listeners but that of other entry instances.
	closer   *linger.Closer
	stopping *stopping
	// watchRole is that of the watch of all records, operatorWatchRole of the watch of the
	// operator's records.
	watchRole         *watchRoleState
	operatorWatchRole *watchRoleState
}
