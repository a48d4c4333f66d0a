package soak

import (
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"github.com/samber/lo"

	standin "samphireferry.example/ferry/standin/platform"
)

// fault is one kind of fault that a soak injects.
type fault struct {
	name string
	// inject starts the fault and returns the function that ends it, or nil when nothing
	// has to be ended.
	inject func(s *system, random *rand.Rand) (undo func() error, err error)
}

// faults lists all faults that a soak draws from.
var faults = []fault{
	{"kill", killInstance},
	{"stop", stopInstance},
	{"pause", pauseInstance},
	{"hang-up", hangUpInstance},
	{"store proxy", faultStoreProxy},
	{"upstream proxy", faultUpstreamProxy},
	{"upstream fails", failUpstream},
	{"upstream loses answers", abortUpstreamResponses},
	{"upstream limits its rate", limitUpstream},
	{"upstream leaves", leaveUpstream},
	{"upstream refuses", refuseAtUpstream},
	{"upstream replaced", replaceUpstream},
	{"configuration", changeConfiguration},
	{"store", faultStore},
	{"store restored", restoreStore},
}

// Extents of the faults.
const (
	// failedPermille and abortedPermille are the fractions of its requests, in
	// thousandths, that a faulty upstream fails, or runs and then aborts without a
	// response.
	failedPermille  = 500
	abortedPermille = 300
	// storeCallDelay and chunkDelay delay calls to the store and chunks at a proxy: many
	// times a round trip on the loopback interface, but within the timeouts.
	storeCallDelay = 300 * time.Millisecond
	chunkDelay     = 50 * time.Millisecond
	// lostResponseShare is the fraction of the writes to the store whose response is lost.
	lostResponseShare = 0.5
)

func killInstance(s *system, r *rand.Rand) (func() error, error) {
	p := s.randomInstance(r)
	p.terminate(syscall.SIGKILL)
	return p.start, nil
}

func stopInstance(s *system, r *rand.Rand) (func() error, error) {
	p := s.randomInstance(r)
	go p.terminate(syscall.SIGTERM)
	return func() error {
		p.terminate(syscall.SIGTERM)
		return p.start()
	}, nil
}

func pauseInstance(s *system, r *rand.Rand) (func() error, error) {
	p := s.randomInstance(r)
	p.signal(syscall.SIGSTOP)
	return func() error {
		p.signal(syscall.SIGCONT)
		return nil
	}, nil
}

func hangUpInstance(s *system, r *rand.Rand) (func() error, error) {
	s.randomInstance(r).signal(syscall.SIGHUP)
	return nil, nil
}

func faultStoreProxy(s *system, r *rand.Rand) (func() error, error) {
	return faultProxy(s.randomInstance(r).storeProxy, r), nil
}

func faultUpstreamProxy(s *system, r *rand.Rand) (func() error, error) {
	return faultProxy(s.randomUpstream(r).proxy, r), nil
}

func failUpstream(s *system, r *rand.Rand) (func() error, error) {
	u := s.randomUpstream(r)
	u.failPermille.Store(failedPermille)
	return func() error {
		u.failPermille.Store(0)
		return nil
	}, nil
}

func abortUpstreamResponses(s *system, r *rand.Rand) (func() error, error) {
	u := s.randomUpstream(r)
	u.abortPermille.Store(abortedPermille)
	return func() error {
		u.abortPermille.Store(0)
		return nil
	}, nil
}

func replaceUpstream(s *system, r *rand.Rand) (func() error, error) {
	return nil, s.replace(s.randomUpstream(r).ID)
}

func changeConfiguration(s *system, _ *rand.Rand) (func() error, error) {
	s.publishConfiguration()
	return nil, nil
}

// faultStore makes the store unavailable or faulty for all instances.
func faultStore(s *system, r *rand.Rand) (func() error, error) {
	variants := []standin.Faults{
		{Outage: standin.OutageRefuse},
		{Outage: standin.OutageHang},
		{SilentWatches: true},
		{Delay: standin.Duration(storeCallDelay)},
		{LoseAnswers: lostResponseShare},
	}
	s.store.SetFaults(variants[r.IntN(len(variants))])
	return func() error {
		s.store.SetFaults(standin.Faults{})
		return nil
	}, nil
}

// restoreStore restores the store from a copy at the end of the fault.
func restoreStore(s *system, _ *rand.Rand) (func() error, error) {
	taken := s.store.Copy()
	return func() error {
		s.store.Restore(taken)
		return nil
	}, nil
}

// faultProxy sets a randomly chosen fault at a proxy and returns the function that ends
// it. One of the variants only resets the open connections; new ones work.
func faultProxy(p *Proxy, r *rand.Rand) func() error {
	variants := []ProxyFault{
		{Refuse: true},
		{Silent: [2]bool{Outbound: true, Inbound: true}},
		{Silent: [2]bool{Outbound: true}},
		{Silent: [2]bool{Inbound: true}},
		{Delay: chunkDelay},
		{},
	}
	chosen := variants[r.IntN(len(variants))]
	p.SetFault(chosen)
	if chosen.Refuse || chosen == (ProxyFault{}) {
		p.Reset()
	}
	return func() error {
		p.SetFault(ProxyFault{})
		return nil
	}
}

func (s *system) randomInstance(r *rand.Rand) *process { return s.instances[r.IntN(len(s.instances))] }

func (s *system) randomUpstream(r *rand.Rand) *Upstream {
	s.mu.Lock()
	defer s.mu.Unlock()
	ids := lo.Keys(s.upstreams)
	slices.Sort(ids)
	return s.upstreams[ids[r.IntN(len(ids))]]
}
