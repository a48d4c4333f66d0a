package edge

import (
	"github.com/cespare/xxhash/v2"

	"samphireferry.example/ferry/canary"
	"samphireferry.example/ferry/placement"
	"samphireferry.example/ferry/splitting"
)

// versionChoice is what traffic knows of the roll-out of a service.
type versionChoice struct {
	version  string
	splitter *splitting.Splitter
	phase    canary.Phase
	record   func(route string, isNew bool, failure canary.Failure)
}

// chooseNew says whether the next request goes to the new version.
func (v *versionChoice) chooseNew() bool {
	if v == nil {
		return false
	}
	switch v.phase {
	case canary.Canary:
		return v.splitter.Next()
	case canary.Promoting, canary.Done:
		return true
	}
	return false
}

// placementKey returns what the choice of the upstream goes by. The few requests for a
// version that is not judged yet go to the same upstreams, so that these are as
// loaded as they will be: some faults show only then.
func (v *versionChoice) placementKey(object uint64) uint64 {
	if v.phase != canary.Canary {
		return object
	}
	return xxhash.Sum64String(v.version)
}

// mayFallBack says whether a request that found no place at the new version may
// go to the old one. The old one gets no work that it may not end.
func (v *versionChoice) mayFallBack(refusal placement.Refusal) bool {
	switch v.phase {
	case canary.Canary:
		return refusal != placement.Chosen
	case canary.Promoting:
		return refusal == placement.NoneInReach
	}
	return false
}

// allows returns which versions may serve a request. One that does not want the
// new version must not get it; one that does may get the old one instead, unless
// the old one is about to stop.
func (v *versionChoice) allows(prefersNew bool) func(version string) bool {
	if v == nil {
		return nil
	}
	return func(version string) bool { return (version == v.version) == prefersNew }
}
