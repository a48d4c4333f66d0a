package soak

import (
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"github.com/samber/lo"

	standin "samphireferry.example/ferry/standin/platform"
)

// fault is one harm.
type fault struct {
	name string
	// strike begins the harm and returns what ends it; nil when nothing has to be ended.
	strike func(s *system, random *rand.Rand) (end func() error, err error)
}

// faults are all harms that a soak draws from.
var faults = []fault{
	{"kill", kill},
	{"stop", stop},
	{"pause", pause},
	{"hang-up", hangUp},
	{"store proxy", storeProxy},
	{"upstream proxy", upstreamProxy},
	{"upstream fails", upstreamFails},
	{"upstream loses answers", upstreamLoses},
	{"upstream replaced", upstreamReplaced},
	{"configuration", configuration},
	{"store", storeAway},
}

// The size of the harms.
const (
	// failing and losing are the parts of its requests, in thousandths, that a harmed
	// upstream fails, or runs without an answer.
	failing = 500
	losing  = 300
	// slowCall and slowPiece delay calls on the store and pieces at a proxy: many
	// times a round trip on the loopback interface, within the time-outs.
	slowCall  = 300 * time.Millisecond
	slowPiece = 50 * time.Millisecond
	// lostAnswers is the part of the writes on the store whose answer is lost.
	lostAnswers = 0.5
)

func kill(s *system, r *rand.Rand) (func() error, error) {
	p := s.instance(r)
	p.end(syscall.SIGKILL)
	return p.start, nil
}

func stop(s *system, r *rand.Rand) (func() error, error) {
	p := s.instance(r)
	go p.end(syscall.SIGTERM)
	return func() error {
		p.end(syscall.SIGTERM)
		return p.start()
	}, nil
}

func pause(s *system, r *rand.Rand) (func() error, error) {
	p := s.instance(r)
	p.signal(syscall.SIGSTOP)
	return func() error {
		p.signal(syscall.SIGCONT)
		return nil
	}, nil
}

func hangUp(s *system, r *rand.Rand) (func() error, error) {
	s.instance(r).signal(syscall.SIGHUP)
	return nil, nil
}

func storeProxy(s *system, r *rand.Rand) (func() error, error) {
	return harm(s.instance(r).store, r), nil
}

func upstreamProxy(s *system, r *rand.Rand) (func() error, error) {
	return harm(s.upstream(r).proxy, r), nil
}

func upstreamFails(s *system, r *rand.Rand) (func() error, error) {
	u := s.upstream(r)
	u.fails.Store(failing)
	return func() error {
		u.fails.Store(0)
		return nil
	}, nil
}

func upstreamLoses(s *system, r *rand.Rand) (func() error, error) {
	u := s.upstream(r)
	u.loses.Store(losing)
	return func() error {
		u.loses.Store(0)
		return nil
	}, nil
}

func upstreamReplaced(s *system, r *rand.Rand) (func() error, error) {
	return nil, s.replace(s.upstream(r).ID)
}

func configuration(s *system, _ *rand.Rand) (func() error, error) {
	s.configure()
	return nil, nil
}

// storeAway takes the store away or lets it misbehave for all instances.
func storeAway(s *system, r *rand.Rand) (func() error, error) {
	harms := []standin.Faults{
		{Outage: standin.OutageRefuse},
		{Outage: standin.OutageHang},
		{SilentWatches: true},
		{Delay: standin.Duration(slowCall)},
		{LoseAnswers: lostAnswers},
	}
	s.store.SetFaults(harms[r.IntN(len(harms))])
	return func() error {
		s.store.SetFaults(standin.Faults{})
		return nil
	}, nil
}

// harm sets a drawn harm at a proxy and returns what ends it. One of the harms is a
// reset of the open connections, after which new ones work.
func harm(p *Proxy, r *rand.Rand) func() error {
	harms := []Harm{
		{Refuse: true},
		{Silent: [2]bool{Out: true, In: true}},
		{Silent: [2]bool{Out: true}},
		{Silent: [2]bool{In: true}},
		{Delay: slowPiece},
		{},
	}
	chosen := harms[r.IntN(len(harms))]
	p.Set(chosen)
	if chosen.Refuse || chosen == (Harm{}) {
		p.Reset()
	}
	return func() error {
		p.Set(Harm{})
		return nil
	}
}

func (s *system) instance(r *rand.Rand) *process { return s.instances[r.IntN(len(s.instances))] }

func (s *system) upstream(r *rand.Rand) *Upstream {
	s.mu.Lock()
	defer s.mu.Unlock()
	ids := lo.Keys(s.upstreams)
	slices.Sort(ids)
	return s.upstreams[ids[r.IntN(len(ids))]]
}
