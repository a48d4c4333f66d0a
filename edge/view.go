package edge

import (
	"sync/atomic"

	"samphireferry.example/ferry/membership"
	"samphireferry.example/ferry/routing"
)

// view is what traffic goroutines know of the control state. It is immutable.
type view struct {
	// table is nil until the instance has a configuration.
	table   *routing.Table
	peers   *membership.Peers
	leaving bool
	// versions holds the roll-outs by service.
	versions map[string]*versionChoice
	splits   map[string]*split
}

type views struct{ current atomic.Pointer[view] }

func (v *views) load() *view { return v.current.Load() }

func (v *views) store(next *view) { v.current.Store(next) }
