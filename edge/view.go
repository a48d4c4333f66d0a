package edge

import (
	"sync/atomic"

	"samphireferry.example/ferry/membership"
	"samphireferry.example/ferry/routing"
)

// view is the immutable state that the control goroutine publishes to traffic
// goroutines.
type view struct {
	// table is nil until the instance has a configuration.
	table   *routing.Table
	peers   *membership.Peers
	leaving bool
	// versions holds the version choices of the roll-outs by service.
	versions map[string]*versionChoice
	// splits holds the traffic splits by route.
	splits map[string]*split
}

// views holds the current view.
type views struct{ current atomic.Pointer[view] }

func (v *views) load() *view { return v.current.Load() }

func (v *views) store(next *view) { v.current.Store(next) }
