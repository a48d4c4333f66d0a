package edge

import (
	"github.com/cespare/xxhash/v2"

	"samphireferry.example/ferry/canary"
	"samphireferry.example/ferry/placement"
)

// versionChoice is the state of a service's roll-out that traffic goroutines use.
type versionChoice struct {
	version string
	split   *canary.Split
	phase   canary.Phase
	record  func(route string, isNew bool, failure canary.Failure)
}

// chooseNew reports whether the next request of the route is to go to the new version. While
// the phase is canary, each call counts one request.
func (v *versionChoice) chooseNew(route string) bool {
	if v == nil {
		return false
	}
	switch v.phase {
	case canary.Canary:
		return v.split.Next(route)
	case canary.Promoting, canary.Done:
		return true
	}
	return false
}

// chooseAgain is chooseNew for a request that was chosen, or not, for the new version of
// the last roll-out. While the phase is canary, that choice stands; a request from before
// the roll-out is not chosen.
func (v *versionChoice) chooseAgain(last *versionChoice, prefersNew bool) bool {
	if v != nil && v.phase == canary.Canary {
		return prefersNew && last != nil && last.version == v.version
	}
	// The phase is not canary, so that nothing is counted.
	return v.chooseNew("")
}

// canaryChoice is the choice that a split has made for a request.
type canaryChoice struct {
	split  *canary.Split
	route  string
	chosen bool
}

// returnChoice takes the choice back when the new version does not get the request, or when no
// upstream got it (sent is false).
func (c *canaryChoice) returnChoice(sent bool) {
	if c == nil || c.split == nil || sent && !c.chosen {
		return
	}
	c.split.Return(c.route, c.chosen, sent)
	c.chosen = false
}

// isCanary reports whether the version is the new one in the canary phase.
func (v *versionChoice) isCanary(version string) bool {
	return v != nil && v.phase == canary.Canary && version == v.version
}

// placementKey returns the hash by which an upstream of the new version is chosen. In
// the canary phase all requests for the new version have the same hash: the few
// requests go to the same upstreams, so that these are as loaded as they will be later,
// since some faults show only under load.
func (v *versionChoice) placementKey(object uint64) uint64 {
	if v.phase != canary.Canary {
		return object
	}
	return xxhash.Sum64String(v.version)
}

// mayFallBack reports whether a request that found no slot at the new version may go to
// the old one. While the new version is promoted, the old one gets a request only if no
// upstream of the new one may serve it, so that it gets no work that it may not finish.
func (v *versionChoice) mayFallBack(refusal placement.Refusal) bool {
	switch v.phase {
	case canary.Canary:
		return refusal != placement.Chosen
	case canary.Promoting:
		return refusal == placement.NoCandidates
	}
	return false
}

// allows returns the filter of the versions that may serve a request: only the new
// version if the request prefers it, otherwise only the others. The fallback to the old
// version is a second choice, see mayFallBack.
func (v *versionChoice) allows(prefersNew bool) func(version string) bool {
	if v == nil {
		return nil
	}
	return func(version string) bool { return (version == v.version) == prefersNew }
}
