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

// rateAndBurst holds the rate and burst of a customer.
type rateAndBurst struct {
	rate  units.Rate
	burst int
}

// trialCustomer is a customer of the trials. Its first key is never withdrawn.
type trialCustomer struct {
	name  string
	keys  []string
	rates []rateAndBurst
	// requestRate is the number of reads per second that its callers send.
	requestRate float64
}

var trialCustomers = []trialCustomer{
	{"university", []string{"key-university-1", "key-university-2", "key-university-3"}, []rateAndBurst{{80, 60}, {60, 40}, {120, 80}}, 50},
	{"college", []string{"key-college-1", "key-college-2"}, []rateAndBurst{{30, 20}, {40, 30}, {25, 15}}, 20},
	{"insistent", []string{"key-insistent-1", "key-insistent-2"}, []rateAndBurst{{15, 10}, {20, 20}, {10, 10}}, 80},
}

const (
	// editTimeout limits one edit of an operator.
	editTimeout = 8 * time.Second
	maxDrains   = 3
	// canaryShare is the largest share of requests for a version that has not been
	// compared yet.
	canaryShare       = 0.2
	shiftStepInterval = 500 * time.Millisecond
)

// runOperators lets two operators publish at the same time: the edit of the fault,
// and a change of rates.
func (r *trial) runOperators(f fault) {
	second := f
	second.kind = editRates
	second.selectors[0], second.selectors[1] = f.selectors[2], f.selectors[3]
	for _, edit := range []fault{f, second} {
		r.operators.Go(func() { r.publish(edit) })
	}
}

// publish makes the edit of one operator and records what may have been published.
func (r *trial) publish(f fault) {
	client, err := platform.NewClient(platform.ClientOptions{URL: r.system.PlatformURL})
	if err != nil {
		r.reporter.Errorf("%v", err)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), editTimeout)
	defer cancel()
	begin := time.Now()
	edit := r.newEdit(f)
	var attempted dynamic.Set
	config, err := operator.NewPublisher(client, nil).Edit(ctx, func(set *dynamic.Set) error {
		changeErr := edit(set)
		attempted = *set
		return changeErr
	})
	var unconfirmed *operator.UnknownOutcomeError
	switch {
	case err == nil:
		r.history.recordPublication(publication{begin, config.Version, config.Set, true})
	case errors.As(err, &unconfirmed):
		r.history.recordPublication(publication{begin, unconfirmed.Version, attempted, false})
	default:
		r.history.recordRejectedEdit()
	}
}

// newEdit returns the change that an operator makes to the objects.
func (r *trial) newEdit(f fault) func(set *dynamic.Set) error {
	c := trialCustomers[f.selectors[0]%len(trialCustomers)]
	names := r.upstreamNames()
	return func(set *dynamic.Set) error {
		switch f.kind {
		case editRates:
			return setRate(set, c.name, c.rates[f.selectors[1]%len(c.rates)])
		case editDrain:
			return toggleDrain(set, names[f.selectors[0]%len(names)])
		case editWithdrawKey:
			return withdrawKey(set, c.keys[1+f.selectors[1]%(len(c.keys)-1)])
		case editMove:
			return r.replaceMove(set, f)
		case editRemoveMoves:
			set.Moves = nil
			return nil
		default:
			return r.addRollout(set, f)
		}
	}
}

func setRate(set *dynamic.Set, name string, next rateAndBurst) error {
	i := slices.IndexFunc(set.Customers, func(c dynamic.Customer) bool { return c.Name == name })
	set.Customers[i].Rate, set.Customers[i].Burst = next.rate, next.burst
	return nil
}

// toggleDrain ends the drain of an upstream if it has one, and begins one otherwise.
// It first ends the oldest drain when maxDrains are active.
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

func withdrawKey(set *dynamic.Set, name string) error {
	i := slices.IndexFunc(set.Keys, func(k dynamic.Key) bool { return k.Name == name })
	set.Keys[i].Withdrawn = true
	return nil
}

func (r *trial) replaceMove(set *dynamic.Set, f fault) error {
	domains := r.system.domains
	from := f.selectors[0] % len(domains)
	to := (from + 1 + f.selectors[1]%(len(domains)-1)) % len(domains)
	set.Moves = []dynamic.Move{{
		Name: fmt.Sprint("move-", f.selectors[2]), Service: serviceArchive, From: domains[from].Name, To: domains[to].Name,
		Cap: 0.5, Step: 0.25, StepInterval: units.Duration(shiftStepInterval), Deadline: units.Duration(8 * time.Second),
	}}
	return nil
}

// addRollout starts the only roll-out of the trial, to a good or a faulty version.
func (r *trial) addRollout(set *dynamic.Set, f fault) error {
	if len(set.Rollouts) > 0 {
		return errors.New("the roll-out has been published")
	}
	if f.selectors[0]%2 == 0 {
		r.system.SetFaults("lookup-v2", standinupstream.Fault{Kind: standinupstream.FaultStatus, Status: 500, Every: 2})
	}
	set.Versions = append(set.Versions, dynamic.Version{Name: secondVersion, Service: serviceLookup})
	for _, u := range r.system.Set.Upstreams {
		if u.Version == secondVersion {
			set.Upstreams = append(set.Upstreams, u)
		}
	}
	set.Rollouts = []dynamic.Rollout{{
		Name: "second", Service: serviceLookup, From: firstVersion, To: secondVersion,
		CanaryShare: canaryShare, Step: 0.4, StepInterval: units.Duration(shiftStepInterval), Deadline: units.Duration(15 * time.Second),
	}}
	return nil
}
