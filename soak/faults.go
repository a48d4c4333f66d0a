package soak

import (
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"github.com/samber/lo"

	standin "samphireferry.example/ferry/standin/platform"
)

// fault is one harm. It takes effect, lasts for the time and is taken back.
type fault struct {
	name string
	// strike begins the harm and returns what ends it, or nil.
	strike func(s *system, random *rand.Rand) (end func() error, err error)
}

// faults are all harms that a soak draws from.
var faults = []fault{
	{"kill", func(s *system, r *rand.Rand) (func() error, error) {
		p := s.instance(r)
		p.end(syscall.SIGKILL)
		return p.start, nil
	}},
	{"stop", func(s *system, r *rand.Rand) (func() error, error) {
		p := s.instance(r)
		go p.end(syscall.SIGTERM)
		return func() error { p.end(syscall.SIGTERM); return p.start() }, nil
	}},
	{"pause", func(s *system, r *rand.Rand) (func() error, error) {
		p := s.instance(r)
		p.signal(syscall.SIGSTOP)
		return func() error { p.signal(syscall.SIGCONT); return nil }, nil
	}},
	{"hang-up", func(s *system, r *rand.Rand) (func() error, error) {
		s.instance(r).signal(syscall.SIGHUP)
		return nil, nil
	}},
	{"store proxy", func(s *system, r *rand.Rand) (func() error, error) { return harm(s.instance(r).store, r), nil }},
	{"upstream proxy", func(s *system, r *rand.Rand) (func() error, error) { return harm(s.upstream(r).proxy, r), nil }},
	{"upstream fails", func(s *system, r *rand.Rand) (func() error, error) {
		u := s.upstream(r)
		u.fails.Store(500)
		return func() error { u.fails.Store(0); return nil }, nil
	}},
	{"upstream loses answers", func(s *system, r *rand.Rand) (func() error, error) {
		u := s.upstream(r)
		u.loses.Store(300)
		return func() error { u.loses.Store(0); return nil }, nil
	}},
	{"upstream replaced", func(s *system, r *rand.Rand) (func() error, error) { return nil, s.replace(s.upstream(r).ID) }},
	{"configuration", func(s *system, _ *rand.Rand) (func() error, error) { s.configure(); return nil, nil }},
	{"store", func(s *system, r *rand.Rand) (func() error, error) {
		harms := []standin.Faults{
			{Outage: standin.OutageRefuse}, {Outage: standin.OutageHang}, {SilentWatches: true},
			{Delay: standin.Duration(300 * time.Millisecond)}, {LoseAnswers: 0.5},
		}
		s.store.SetFaults(harms[r.IntN(len(harms))])
		return func() error { s.store.SetFaults(standin.Faults{}); return nil }, nil
	}},
}

// harm sets a drawn harm at a proxy and returns what ends it.
func harm(p *Proxy, r *rand.Rand) func() error {
	harms := []Harm{
		{Refuse: true}, {Silent: [2]bool{true, true}}, {Silent: [2]bool{true, false}}, {Silent: [2]bool{false, true}},
		{Delay: 50 * time.Millisecond}, {},
	}
	chosen := harms[r.IntN(len(harms))]
	p.Set(chosen)
	if chosen.Refuse || chosen == (Harm{}) {
		p.Reset()
	}
	return func() error { p.Set(Harm{}); return nil }
}

func (s *system) instance(r *rand.Rand) *process { return s.instances[r.IntN(len(s.instances))] }

func (s *system) upstream(r *rand.Rand) *Upstream {
	s.mu.Lock()
	defer s.mu.Unlock()
	ids := lo.Keys(s.upstreams)
	slices.Sort(ids)
	return s.upstreams[ids[r.IntN(len(ids))]]
}
