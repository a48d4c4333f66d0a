package rollouts

import (
	"samphireferry.example/ferry/invariant"
	"samphireferry.example/ferry/rpc/entrypb"
)

// InvariantVerdict says that a version that was judged bad gets no traffic
// until operators publish the roll-out anew.
const InvariantVerdict invariant.Name = "rollouts_verdict_final"

// verdictKey names one generation of a roll-out.
type verdictKey struct {
	rollout    string
	generation uint64
}

// verdictSet holds the verdicts that an instance has reached or heard of.
// Verdicts are only added, until their generation is over.
type verdictSet struct {
	reasons map[verdictKey]string
}

func newVerdictSet() *verdictSet { return &verdictSet{reasons: map[verdictKey]string{}} }

// add takes in a verdict and says whether it is new.
func (s *verdictSet) add(rollout string, generation uint64, reason string) bool {
	key := verdictKey{rollout, generation}
	if _, known := s.reasons[key]; known {
		return false
	}
	s.reasons[key] = reason
	return true
}

// reason returns the reason of the verdict on a generation.
func (s *verdictSet) reason(rollout string, generation uint64) (string, bool) {
	reason, ok := s.reasons[verdictKey{rollout, generation}]
	return reason, ok
}

// dropBefore drops the verdicts on earlier generations than the given one.
func (s *verdictSet) dropBefore(rollout string, generation uint64) {
	for key := range s.reasons {
		if key.rollout == rollout && key.generation < generation {
			delete(s.reasons, key)
		}
	}
}

// messages returns the verdicts for a heartbeat.
func (s *verdictSet) messages() []*entrypb.Verdict {
	out := make([]*entrypb.Verdict, 0, len(s.reasons))
	for key, reason := range s.reasons {
		out = append(out, &entrypb.Verdict{Rollout: key.rollout, ConfigVersion: key.generation, Reason: reason})
	}
	return out
}
