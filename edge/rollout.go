package edge

import (
	"time"

	"samphireferry.example/ferry/rpc/entrypb"
)

// versionChoice chooses the version of each request of a service.
type versionChoice struct{}

// next returns the version for the next request; empty allows all.
func (v *versionChoice) next(string) string { return "" }

type rolloutControl struct{}

func newRolloutControl(*control) *rolloutControl { return &rolloutControl{} }

func (r *rolloutControl) tick(time.Time)                     {}
func (r *rolloutControl) read(time.Time)                     {}
func (r *rolloutControl) hear(time.Time, *entrypb.State)     {}
func (r *rolloutControl) counts() []*entrypb.VersionCount    { return nil }
func (r *rolloutControl) choices() map[string]*versionChoice { return nil }
