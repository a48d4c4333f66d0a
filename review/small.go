package main

import (
	"fmt"
	"time"

	"samphireferry.example/ferry/standin/records"
)

// newSmallSystem starts a small deployment with some upstreams of each service and waits until
// its instances are ready.
func newSmallSystem(o options, edges, perService, slots int, work, timeout time.Duration, rate float64, l *ledger) (*system, error) {
	s, err := newSystem(o.record, o.program)
	if err != nil {
		return nil, err
	}
	err = s.fill(o, edges, perService, slots, work, timeout, rate, l)
	if err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

func (s *system) fill(o options, edges, perService, slots int, work, timeout time.Duration, rate float64, l *ledger) error {
	for _, service := range []string{"desk", "ledger"} {
		for i := range perService {
			u, err := newUpstream(fmt.Sprintf("i-%s-%d", service, i+1), service, o.stamp, work, slots, l)
			if err != nil {
				return err
			}
			s.upstreams[u.id] = u
			if err := s.put(u.entry(domains[i%len(domains)][0])); err != nil {
				return err
			}
		}
	}
	return s.start(configuration(1, timeout, rate), edges)
}

// start publishes the configuration, starts the instances and waits until they are ready.
func (s *system) start(c records.Configuration, edges int) error {
	if err := s.put(c); err != nil {
		return err
	}
	if err := s.addEdges(edges); err != nil {
		return err
	}
	if err := s.startAll(); err != nil {
		return err
	}
	return s.awaitAll()
}
