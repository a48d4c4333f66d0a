package admission

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"samphireferry.example/ferry/sharetable"
)

var measureSeed = flag.Uint64("measure.seed", 1, "seed of BenchmarkServedWithinRate")

// measurement is a fleet of ten instances under a steady load.
type measurement struct {
	*fleet
	reference      []referenceBucket
	offered        []int
	served         []int
	wronglyRefused []int
	measuring      bool
}

// referenceBucket is a single bucket with the customer's whole rate and burst, from
// which the requests that the fleet admits are subtracted.
type referenceBucket struct {
	rate, burst, level float64
	at                 time.Time
}

func (r *referenceBucket) refill(now time.Time) {
	r.level = min(r.burst, r.level+r.rate*now.Sub(r.at).Seconds())
	r.at = now
}

const (
	// demandFraction is the demand of a customer as a fraction of its rate.
	demandFraction = 0.8
	// overloadFactor is the demand of the oversubscribed customer as a multiple of its
	// rate.
	overloadFactor = 5
	// oversubscribedCustomer is the index of that customer.
	oversubscribedCustomer = 2
	warmUp                 = 10 * time.Second
	measured               = 240 * time.Second
)

func newMeasurement(b *testing.B, noLoans bool) *measurement {
	var sites []site
	for i, domain := range []string{"a1", "a1", "a2", "a2", "b1", "b1", "b2", "b2", "c1", "c2"} {
		sites = append(sites, site{fmt.Sprintf("10.0.0.%d:80", i), domain, domain[:1]})
	}
	m := &measurement{fleet: newFleet(b, *measureSeed, sites)}
	m.limiter.NoLoans = noLoans
	m.delay = func(from, to site) time.Duration {
		if from.region != to.region {
			return 12 * time.Millisecond
		}
		return time.Millisecond
	}
	for i, rate := range []float64{400, 300, 200, 50, 20, 10, 5, 2} {
		c := sharetable.Customer{Name: fmt.Sprintf("customer %d", i), Rate: rate, Burst: max(5, int(rate/2))}
		m.customers = append(m.customers, c)
		m.reference = append(m.reference, referenceBucket{rate: rate, burst: float64(c.Burst), at: m.now})
	}
	m.offered = make([]int, len(m.customers))
	m.served = make([]int, len(m.customers))
	m.wronglyRefused = make([]int, len(m.customers))
	m.onDecision = m.count
	for i, s := range sites {
		m.start(s).drivesTable = i == 0
		m.listed[s.address] = true
	}
	m.addLoad()
	return m
}

// addLoad sends 70% of a customer's requests to one site, 20% to another and spreads
// the rest over all. Callers of a site without a process use the next one.
func (m *measurement) addLoad() {
	for c, customer := range m.customers {
		rate := customer.Rate * demandFraction
		if c == oversubscribedCustomer {
			rate = customer.Rate * overloadFactor
		}
		for i := range m.sites {
			fraction := 0.1 / float64(len(m.sites))
			switch (i - 3*c + 30) % len(m.sites) {
			case 0:
				fraction += 0.7
			case 1:
				fraction += 0.2
			}
			m.arrivals(i, c, rate*fraction)
		}
	}
}

func (m *measurement) arrivals(i, customer int, rate float64) {
	m.schedule(time.Duration(m.rng.ExpFloat64()/rate*float64(time.Second)), func() {
		n := m.nodes[m.sites[i].address]
		for j := i; n == nil; j++ {
			n = m.nodes[m.sites[j%len(m.sites)].address]
		}
		m.request(n, customer)
		m.arrivals(i, customer, rate)
	})
}

func (m *measurement) count(_ *node, customer int, ok bool) {
	r := &m.reference[customer]
	r.refill(m.now)
	if ok {
		r.level--
	}
	if !m.measuring {
		return
	}
	m.offered[customer]++
	switch {
	case ok:
		m.served[customer]++
	case r.level >= 1:
		m.wronglyRefused[customer]++
	}
}

func (m *measurement) report(b *testing.B) {
	offered, wronglyRefused, worst := 0, 0, 1.0
	for c := range m.customers {
		if c == oversubscribedCustomer {
			continue
		}
		offered += m.offered[c]
		wronglyRefused += m.wronglyRefused[c]
		worst = min(worst, float64(m.served[c])/float64(m.served[c]+m.wronglyRefused[c]))
	}
	limit := m.customers[oversubscribedCustomer].Rate * measured.Seconds()
	b.ReportMetric(100*float64(wronglyRefused)/float64(offered), "wrongful-%")
	b.ReportMetric(100*worst, "worst-served-%")
	b.ReportMetric(100*float64(m.served[oversubscribedCustomer])/limit, "overloader-%-of-rate")
	b.ReportMetric(float64(offered), "offered")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkServedWithinRate compares shares without loans to shares with loans, in
// virtual time. wrongful-% is the percentage of requests refused although their
// customer was within its rate and burst, of all requests of the customers that keep
// to their rates. worst-served-% is, for the customer with the lowest value, the
// percentage of the requests within its rate and burst that were served.
func BenchmarkServedWithinRate(b *testing.B) {
	scenarios := []struct {
		name    string
		disturb func(m *measurement)
	}{
		{"steady", func(*measurement) {}},
		{"store_away_and_replacement", func(m *measurement) {
			m.storeDown = true
			m.schedule(10*time.Second, func() { m.kill(m.sites[3].address) })
			m.schedule(12*time.Second, func() { m.start(m.sites[3]) })
		}},
		{"region_cut", func(m *measurement) {
			m.partitioned = func(from, to site) bool { return (from.region == "b") != (to.region == "b") }
		}},
		{"instance_killed", func(m *measurement) {
			m.kill(m.sites[3].address)
			m.listed[m.sites[3].address] = false
		}},
	}
	for _, scenario := range scenarios {
		for _, policy := range []string{"shares_only", "loans"} {
			b.Run(scenario.name+"/"+policy, func(b *testing.B) {
				for b.Loop() {
					m := newMeasurement(b, policy == "shares_only")
					m.runFor(warmUp)
					m.measuring = true
					scenario.disturb(m)
					m.runFor(measured)
					m.report(b)
				}
			})
		}
	}
}
