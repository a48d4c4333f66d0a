package rollouts

import (
	"samphireferry.example/ferry/invariant"
	"samphireferry.example/ferry/rpc/entrypb"
)

// InvariantVerdict states that a version that was judged bad gets no traffic
// until operators publish a changed roll-out.
const InvariantVerdict invariant.Name = "rollouts_verdict_final"

// verdictKey identifies one generation of a roll-out.
type verdictKey struct {
	rollout    string
	generation uint64
}

// verdictSet holds the verdicts that an instance has reached or received.
// Verdicts are kept until their generation is over.
type verdictSet struct {
	reasons map[verdictKey]string
}

func newVerdictSet() *verdictSet { return &verdictSet{reasons: map[verdictKey]string{}} }

// add adds a verdict and reports whether it is new. The first reason is kept.
func (s *verdictSet) add(rollout string, generation uint64, reason string) bool {
	key := verdictKey{rollout, generation}
	if _, known := s.reasons[key]; known {
		return false
	}
	s.reasons[key] = reason
	return true
}

// reason returns the reason of the verdict on a generation, or false if there is
// no verdict.
func (s *verdictSet) reason(rollout string, generation uint64) (string, bool) {
	reason, ok := s.reasons[verdictKey{rollout, generation}]
	return reason, ok
}

// dropBefore drops the verdicts on generations before the given one.
func (s *verdictSet) dropBefore(rollout string, generation uint64) {
	for key := range s.reasons {
		if key.rollout == rollout && key.generation < generation {
			delete(s.reasons, key)
		}
	}
}

// messages returns the verdicts for a heartbeat.
func (s *verdictSet) messages() []*entrypb.Verdict {
	messages := make([]*entrypb.Verdict, 0, len(s.reasons))
	for key, reason := range s.reasons {
		messages = append(messages, &entrypb.Verdict{Rollout: key.rollout, ConfigVersion: key.generation, Reason: reason})
	}
	return messages
}
