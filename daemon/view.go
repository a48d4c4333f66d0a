package daemon

import (
	"sync/atomic"

	"samphireferry.example/ferry/balancing"
	"samphireferry.example/ferry/membership"
	"samphireferry.example/ferry/rollouts"
	"samphireferry.example/ferry/routing"
	"samphireferry.example/ferry/splitting"
	"samphireferry.example/ferry/steering"
)

// view is the snapshot of the control state for traffic goroutines. It is
// immutable, except for the pools, which are safe for concurrent use.
type view struct {
	// table is nil until the instance has a configuration.
	table *routing.Table
	peers *membership.Peers
	// pools holds the upstreams that this instance owns.
	pools *balancing.Pools
	// choosers order the owners of each version of a service.
	choosers map[balancing.VersionKey]*balancing.Chooser
	// directory is nil until the instance has a configuration.
	directory *steering.Directory
	splits    *splitting.Snapshot
	recorders *rollouts.Recorders
	leaving   bool
}

// views holds the newest view.
type views struct {
	current atomic.Pointer[view]
}

func newViews() *views {
	v := &views{}
	v.current.Store(&view{peers: &membership.Peers{}, pools: balancing.NewPools(balancing.PoolOptions{})})
	return v
}

func (v *views) load() *view { return v.current.Load() }

func (v *views) store(next *view) { v.current.Store(next) }

// Table implements caller.TableSource.
func (v *views) Table() *routing.Table { return v.load().table }
