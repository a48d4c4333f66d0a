package demo

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"samphireferry.example/ferry/config/dynamic"
	"samphireferry.example/ferry/operator"
	"samphireferry.example/ferry/platform"
	standinupstream "samphireferry.example/ferry/standin/upstream"
	"samphireferry.example/ferry/units"
)

// rateAndBurst are settings of a customer.
type rateAndBurst struct {
	rate  units.Rate
	burst int
}

// randomCustomer is a customer of the random runs. Its first key is never withdrawn.
type randomCustomer struct {
	name  string
	keys  []string
	rates []rateAndBurst
	// sent is the number of requests per second that its callers send.
	sent float64
}

var randomCustomers = []randomCustomer{
	{"university", []string{"key-university-1", "key-university-2", "key-university-3"}, []rateAndBurst{{80, 60}, {60, 40}, {120, 80}}, 50},
	{"college", []string{"key-college-1", "key-college-2"}, []rateAndBurst{{30, 20}, {40, 30}, {25, 15}}, 20},
	{"insistent", []string{"key-insistent-1", "key-insistent-2"}, []rateAndBurst{{15, 10}, {20, 20}, {10, 10}}, 80},
}

const (
	// editTimeout bounds one edit of an operator.
	editTimeout = 8 * time.Second
	maxDrains   = 3
	// canaryShare is the largest share of a version that was not judged yet.
	canaryShare = 0.2
	moveStep    = 500 * time.Millisecond
)

// operate lets two operators publish at the same time.
func (r *trial) operate(h harm) {
	other := h
	other.kind = harmRates
	other.pick[0], other.pick[1] = h.pick[2], h.pick[3]
	for _, each := range []harm{h, other} {
		r.operators.Go(func() { r.publish(each) })
	}
}

// publish makes the edit of one operator, and notes what may now be published.
func (r *trial) publish(h harm) {
	client, err := platform.NewClient(platform.ClientOptions{URL: r.s.PlatformURL})
	if err != nil {
		r.report.Errorf("%v", err)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), editTimeout)
	defer cancel()
	begin := time.Now()
	change := r.changeOf(h)
	var last dynamic.Set
	config, err := operator.NewPublisher(client, nil).Edit(ctx, func(set *dynamic.Set) error {
		changeErr := change(set)
		last = *set
		return changeErr
	})
	var unsettled *operator.UnsettledError
	switch {
	case err == nil:
		r.history.published(publication{begin, config.Version, config.Set, true})
	case errors.As(err, &unsettled):
		r.history.published(publication{begin, unsettled.Version, last, false})
	default:
		r.history.refused()
	}
}

// changeOf returns what an operator wants to change.
func (r *trial) changeOf(h harm) func(set *dynamic.Set) error {
	c := randomCustomers[h.pick[0]%len(randomCustomers)]
	names := r.upstreamNames()
	return func(set *dynamic.Set) error {
		switch h.kind {
		case harmRates:
			return setRate(set, c.name, c.rates[h.pick[1]%len(c.rates)])
		case harmDrain:
			return toggleDrain(set, names[h.pick[0]%len(names)])
		case harmWithdraw:
			return withdraw(set, c.keys[1+h.pick[1]%(len(c.keys)-1)])
		case harmMove:
			return r.replaceMove(set, h)
		case harmRemoveShift:
			set.Moves = nil
			return nil
		default:
			return r.addRollout(set, h)
		}
	}
}

func setRate(set *dynamic.Set, name string, next rateAndBurst) error {
	i := slices.IndexFunc(set.Customers, func(c dynamic.Customer) bool { return c.Name == name })
	set.Customers[i].Rate, set.Customers[i].Burst = next.rate, next.burst
	return nil
}

func toggleDrain(set *dynamic.Set, upstream string) error {
	i := slices.IndexFunc(set.Drains, func(d dynamic.Drain) bool { return d.Upstream == upstream })
	switch {
	case i >= 0:
		set.Drains = slices.Delete(set.Drains, i, i+1)
	case len(set.Drains) == maxDrains:
		set.Drains = set.Drains[1:]
		fallthrough
	default:
		set.Drains = append(set.Drains, dynamic.Drain{Name: "drain-" + upstream, Upstream: upstream})
	}
	return nil
}

func withdraw(set *dynamic.Set, name string) error {
	i := slices.IndexFunc(set.Keys, func(k dynamic.Key) bool { return k.Name == name })
	set.Keys[i].Withdrawn = true
	return nil
}

func (r *trial) replaceMove(set *dynamic.Set, h harm) error {
	domains := r.s.domains
	from := h.pick[0] % len(domains)
	to := (from + 1 + h.pick[1]%(len(domains)-1)) % len(domains)
	set.Moves = []dynamic.Move{{
		Name: fmt.Sprint("move-", h.pick[2]), Service: serviceArchive, From: domains[from].Name, To: domains[to].Name,
		Cap: 0.5, Step: 0.25, StepInterval: units.Duration(moveStep), Deadline: units.Duration(8 * time.Second),
	}}
	return nil
}

// addRollout starts the only roll-out of the run, with a good or a bad version.
func (r *trial) addRollout(set *dynamic.Set, h harm) error {
	if len(set.Rollouts) > 0 {
		return errors.New("the roll-out has been published")
	}
	if h.pick[0]%2 == 0 {
		r.s.SetFaults("lookup-v2", standinupstream.Fault{Kind: standinupstream.FaultStatus, Status: 500, Every: 2})
	}
	set.Versions = append(set.Versions, dynamic.Version{Name: secondVersion, Service: serviceLookup})
	for _, u := range r.s.Set.Upstreams {
		if u.Version == secondVersion {
			set.Upstreams = append(set.Upstreams, u)
		}
	}
	set.Rollouts = []dynamic.Rollout{{
		Name: "second", Service: serviceLookup, From: firstVersion, To: secondVersion,
		CanaryShare: canaryShare, Step: 0.4, StepInterval: units.Duration(moveStep), Deadline: units.Duration(15 * time.Second),
	}}
	return nil
}
