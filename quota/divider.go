package quota

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// minEqualFraction is the least fraction of a rate that is divided equally.
	minEqualFraction = 0.5
	// countedSeconds is the time whose arrivals the moving average of a demand amounts to.
	countedSeconds = float64(sampleInterval) / float64(time.Second) * (2 - smoothing) / smoothing
	// reliableArrivals is the number of arrivals in countedSeconds at which a demand counts half:
	// of fewer, most of the variation is random.
	reliableArrivals = 16
	// minBurst is the smallest size of a bucket, in tokens: a loan reserves capacity
	// for a fraction of a token, and the remainder must hold a whole one.
	minBurst = 2
	// withinRateFraction is the fraction of a customer's rate up to which its demand
	// counts as within the rate, and so as not limited by it; the rest covers growth not
	// announced yet.
	withinRateFraction = 0.8
	// oversubscribedFactor is the multiple of a customer's rate above which loans are
	// futile. Refused requests are retried and count twice, so it is well above 1.
	oversubscribedFactor = 2.5
	// usedAllowanceFraction is the fraction of the allowance that the buckets use; the
	// rest covers differences between the divisions of two instances.
	usedAllowanceFraction = 0.8
	// maxTickGap is the longest gap between two ticks after which this instance keeps
	// its demand. After a longer one, such as a suspension of the machine, the demand
	// of the other instances is unknown.
	maxTickGap = 2 * time.Second
)

// Customer is a customer with a rate limit.
type Customer struct {
	Name string
	// Rate is in requests per second over all instances; 0 means no limit.
	Rate float64
	// Burst is the number of requests that may be admitted at once.
	Burst float64
	// Allowance is the number of requests by which the admissions of one window may
	// exceed Rate and Burst.
	Allowance float64
}

// earlyReserve is the multiple of the idle tokens beyond burst and allowance that the rate of a
// window leaves room for while a demand grows. Loans move further idle tokens to where the demand is.
const earlyReserve = 2

// burstFraction is the fraction of a customer's requests per window that may be
// admitted at once. The rest is spread over the window.
const burstFraction = 0.02

// Tolerance bounds what all instances together may admit beyond a customer's rate
// and burst in one window: the fraction Excess of the requests that the window
// allows, and Slack requests.
type Tolerance struct {
	Window time.Duration
	Excess float64
	Slack  float64
}

// Windowed returns the rate and burst of a token bucket that admits at most
// rate x window + burst requests in any window, including consecutive windows, and
// sets Allowance from the tolerance.
func Windowed(c Customer, t Tolerance) Customer {
	total := c.Rate*t.Window.Seconds() + c.Burst
	return Customer{
		Name:      c.Name,
		Rate:      total * (1 - burstFraction) / t.Window.Seconds(),
		Burst:     total * burstFraction,
		Allowance: total*t.Excess + t.Slack,
	}
}

// ID identifies a customer in announcements. It is a hash of the name, since names would
// make up most of a heartbeat. The demand of two customers with the same ID adds up, so
// that each is allocated less of its rate than it could use.
type ID uint32

// IDOf returns the ID of the customer with the name.
func IDOf(name string) ID { return ID(xxhash.Sum64String(name)) }

// Demand is the demand that one source announces, in requests per second.
type Demand map[ID]float64

// Allocation is what one instance may use of a customer's rate and burst.
type Allocation struct {
	Customer Customer
	// Rate is in requests per second.
	Rate float64
	// Burst is in requests.
	Burst int
	// Oversubscribed is set when the customer's demand over all instances is far above
	// its rate.
	Oversubscribed bool
}

// Divider computes the allocations of one instance. It is not safe for concurrent
// use.
type Divider struct {
	customers map[string]*customer
	byID      map[ID][]*customer
	// demandBySource is the announced demand by source and customer.
	demandBySource map[string]map[ID]*series
	// receivedAt is when each source announced its demand last.
	receivedAt map[string]time.Time
	peers      Peers
	// collected is set while the announcements of the customers are up to date.
	collected bool
	sampledAt time.Time
	tickedAt  time.Time
}

// customer is the state of one customer in a Divider.
type customer struct {
	Customer
	id       ID
	arrivals uint64
	demand   float64
	// announced is the demand that was announced to the peers.
	announced series
	// withinRate is set when the demand over all instances is clearly below the rate,
	// oversubscribed when it is far above.
	withinRate     bool
	oversubscribed bool
	// countedDemand is this instance's demand as used in the division; it grows only
	// while the demand of all peers is received.
	countedDemand float64
	// direct and domains are what the sources announce, as of the last collect.
	direct, domains announcements
	// domainDemand and countedDomainDemand are the same for this instance's failure
	// domain; they are used where other failure domains are received as sums.
	domainDemand        series
	countedDomainDemand float64
}

// announcements is the demand that several sources announce for one customer.
type announcements struct {
	// newest is the sum of what they announced last.
	newest float64
	// high is the sum of their demand that may still be in force elsewhere.
	high float64
	// claimed is the sum of the demand that they may count in their own allocations by now.
	claimed float64
}

func (a *announcements) add(s *series, now time.Time, delay, convergence time.Duration, withinRate bool) {
	a.newest += s.newest()
	a.high += s.convergedHigh(withinRate)
	a.claimed += s.claimed(now, convergence-delay, withinRate)
}

// New returns a divider without customers, for a system of one instance.
func New() *Divider {
	return &Divider{customers: map[string]*customer{}, byID: map[ID][]*customer{}, demandBySource: map[string]map[ID]*series{}, receivedAt: map[string]time.Time{}, peers: Peers{Instances: 1, Convergence: DirectConvergence, DirectConvergence: DirectConvergence}}
}

// Configure replaces the customers. Those without a rate get no allocation.
func (d *Divider) Configure(customers []Customer) {
	d.collected = false
	old := d.customers
	d.customers = make(map[string]*customer, len(customers))
	d.byID = make(map[ID][]*customer, len(customers))
	for _, c := range customers {
		if c.Rate <= 0 {
			continue
		}
		known := old[c.Name]
		if known == nil {
			known = &customer{}
		}
		known.Customer, known.id = c, IDOf(c.Name)
		d.customers[c.Name] = known
		d.byID[known.id] = append(d.byID[known.id], known)
	}
}

// Peers are the sources of announced demand other than this instance. In a full
// mesh Domains is empty, and Direct holds all peers.
type Peers struct {
	// Direct are the instances whose demand is received individually.
	Direct []string
	// Domains are the other failure domains, whose demand is received as sums.
	Domains []string
	// Instances is the number of entry instances, this one included.
	Instances int
	// Complete is set when the demand of all of them is received.
	Complete bool
	// Convergence is the convergence time, after which every instance has received an
	// announcement.
	Convergence time.Duration
	// DirectConvergence is the same for the instances in Direct. It equals Convergence in a full
	// mesh.
	DirectConvergence time.Duration
}

// SetPeers replaces the peers and drops the demand of sources that are not among
// them any more.
func (d *Divider) SetPeers(peers Peers) {
	d.collected = false
	known := make(map[string]bool, len(peers.Direct)+len(peers.Domains))
	for _, name := range peers.Direct {
		known[name] = true
	}
	for _, name := range peers.Domains {
		known[name] = true
	}
	for name := range d.demandBySource {
		if !known[name] {
			delete(d.demandBySource, name)
			delete(d.receivedAt, name)
		}
	}
	d.peers = peers
}

// RecordDemand records the demand that a source announces, as of the time at which it was announced.
// A customer that the announcement lacks has no demand there.
func (d *Divider) RecordDemand(at time.Time, source string, demand Demand) {
	d.collected = false
	received := d.demandBySource[source]
	if received == nil {
		received = map[ID]*series{}
		d.demandBySource[source] = received
	}
	convergence := d.peers.Convergence
	if slices.Contains(d.peers.Direct, source) {
		convergence = d.peers.DirectConvergence
	}
	last, announcedBefore := d.receivedAt[source]
	d.receivedAt[source] = at
	for id, value := range demand {
		if received[id] == nil {
			received[id] = &series{}
			if announcedBefore {
				// The last announcement lacked the customer.
				received[id].add(last, 0, convergence)
			}
		}
		received[id].add(at, value, convergence)
	}
	for id, values := range received {
		if _, announced := demand[id]; announced {
			continue
		}
		values.add(at, 0, convergence)
		if values.zero() {
			delete(received, id)
		}
	}
}

// Demand returns this instance's demand, to be announced to the peers.
func (d *Divider) Demand() Demand {
	demand := Demand{}
	for _, c := range d.customers {
		if value := c.announced.newest(); value > 0 {
			demand[c.id] += value
		}
	}
	return demand
}

// Tick updates the demand at most once per sampleInterval. The arrivals function
// returns the total number of requests of a customer so far.
func (d *Divider) Tick(now time.Time, arrivals func(name string) uint64) {
	if !d.tickedAt.IsZero() && now.Sub(d.tickedAt) > maxTickGap {
		d.resume()
	}
	d.tickedAt = now
	if now.Sub(d.sampledAt) >= sampleInterval {
		d.sample(now, arrivals)
	}
}

// resume resets this instance's demand after a pause: the peers may have divided
// the rates without this instance.
func (d *Divider) resume() {
	for _, c := range d.customers {
		c.demand, c.countedDemand, c.countedDomainDemand = 0, 0, 0
		c.announced, c.domainDemand = series{}, series{}
	}
}

func (d *Divider) sample(now time.Time, arrivals func(name string) uint64) {
	elapsed := now.Sub(d.sampledAt).Seconds()
	first := d.sampledAt.IsZero()
	d.sampledAt = now
	d.collect()
	for name, c := range d.customers {
		count := arrivals(name)
		arrived := float64(count - min(c.arrivals, count))
		c.arrivals = count
		if first {
			continue
		}
		if len(c.announced.samples) == 0 {
			// Until now the peers have received no demand for this customer.
			c.announced.add(now, 0, d.peers.DirectConvergence)
		}
		c.demand += smoothing * (arrived/elapsed - c.demand)
		c.announced.add(now, c.demand, d.peers.DirectConvergence)
		total := c.demand + c.direct.newest + c.domains.newest
		withinRate := total <= withinRateFraction*c.Rate
		d.collected = d.collected && withinRate == c.withinRate
		c.withinRate = withinRate
		c.oversubscribed = total > oversubscribedFactor*c.Rate
		c.countedDemand = d.nextCounted(c.countedDemand, c.announced.convergedLow(c.withinRate))
		if len(c.domainDemand.samples) == 0 {
			// The other domains have received no demand of this one either.
			c.domainDemand.add(now, 0, d.peers.Convergence)
		}
		c.domainDemand.add(now, c.demand+c.direct.newest, d.peers.Convergence)
		c.countedDomainDemand = d.nextCounted(c.countedDomainDemand, c.domainDemand.convergedLow(c.withinRate))
	}
}

// Allocations returns this instance's allocations, sorted by customer name.
func (d *Divider) Allocations() []Allocation {
	d.collect()
	allocations := make([]Allocation, 0, len(d.customers))
	for _, c := range d.customers {
		fraction := d.fraction(c)
		allocations = append(allocations, Allocation{
			Customer:       c.Customer,
			Rate:           c.Rate * fraction,
			Burst:          max(int(math.Round((c.Burst+c.Allowance*usedAllowanceFraction)*fraction)), minBurst),
			Oversubscribed: c.oversubscribed,
		})
	}
	slices.SortFunc(allocations, func(a, b Allocation) int { return cmp.Compare(a.Customer.Name, b.Customer.Name) })
	return allocations
}

// nextCounted returns the new counted demand: it grows only while the demand of all
// peers is received.
func (d *Divider) nextCounted(counted, converged float64) float64 {
	if converged < counted || d.peers.Complete {
		return converged
	}
	return counted
}

// collect adds up what the sources announce for each customer. Its cost depends on the
// customers that have demand at a source, not on the product of customers and sources.
func (d *Divider) collect() {
	if d.collected {
		return
	}
	d.collected = true
	for _, c := range d.customers {
		c.direct, c.domains = announcements{}, announcements{}
	}
	for _, source := range d.peers.Direct {
		for id, s := range d.demandBySource[source] {
			for _, c := range d.byID[id] {
				c.direct.add(s, d.tickedAt, directClaimDelay, d.peers.DirectConvergence, c.withinRate)
			}
		}
	}
	for _, source := range d.peers.Domains {
		for id, s := range d.demandBySource[source] {
			for _, c := range d.byID[id] {
				c.domains.add(s, d.tickedAt, relayedClaimDelay, d.peers.Convergence, c.withinRate)
			}
		}
	}
}

// fraction returns the fraction of a customer's rate that this instance may use.
// Where other failure domains are received as sums, it is the fraction of this
// failure domain times that of this instance within it.
func (d *Divider) fraction(c *customer) float64 {
	perInstance := c.Rate / float64(d.peers.Instances)
	equal := 1 / float64(d.peers.Instances)
	reliable := 1 - equalFraction(perInstance)
	early := d.earlyFraction(c)
	if len(d.peers.Domains) == 0 {
		return (1-reliable)*equal + reliable*demandFraction(c.countedDemand, c.direct, equal, early)
	}
	domainInstances := float64(len(d.peers.Direct) + 1)
	reliableDomain := 1 - equalFraction(c.Rate/float64(len(d.peers.Domains)+1))
	domain := demandFraction(c.countedDomainDemand, c.domains, domainInstances*equal, early)
	inDomain := demandFraction(c.countedDemand, c.direct, 1/domainInstances, early)
	// What is divided equally is divided among all instances at once: as a product of an equal part
	// of the domains and one within the domain, only a quarter of the rate is in use while the
	// demand grows. That is right where idle tokens make up for the rest.
	atOnce := (1-reliableDomain)*equal + (reliableDomain-reliable)*domain/domainInstances + reliable*domain*inDomain
	inSteps := ((1-reliableDomain)*domainInstances*equal + reliableDomain*domain) * ((1-reliable)/domainInstances + reliable*inDomain)
	return early*atOnce + (1-early)*inSteps
}

// earlyFraction returns how far the rate may be in use while a growth has been announced and not
// been counted: 1 for all of it, 0 for what the instances count. The buckets of a small customer hold more idle tokens in a large fleet than its burst
// and allowance, since each holds minBurst at least; a demand that grows finds them full, and the
// rate of a window has to make up for them.
func (d *Divider) earlyFraction(c *customer) float64 {
	burst := c.Burst + c.Allowance*usedAllowanceFraction
	excess := max(0, minBurst*float64(d.peers.Instances)-burst)
	perWindow := c.Burst / burstFraction * (1 - burstFraction)
	if perWindow <= 0 {
		return 0
	}
	return max(0, 1-earlyReserve*excess/perWindow)
}

// demandFraction returns the fraction of a whole that a counted demand gets beside what the others
// announce: in proportion to demand, with the converged demand of the others in the total. What
// neither this side nor the others count yet is divided equally: while the demand grows everywhere,
// each side would otherwise give way to the growth of the others before any of them uses it, and
// most of the rate would be used by none. equal is the fraction of an equal division, early that of
// the announced growth that is divided so.
func demandFraction(counted float64, others announcements, equal, early float64) float64 {
	total := counted + others.high
	if total <= 0 {
		return equal
	}
	growth := max(0, others.newest-others.claimed)
	unclaimed := 1 - (counted+others.newest-early*growth)/total
	return counted/total + unclaimed*equal
}

// equalFraction returns the fraction of a rate that is divided equally among parts that get
// perPart requests per second each. It depends on what all instances have in common, not on
// the demand, so that their divisions agree. With a request every few seconds, the measured demand
// of a part is mostly random, and a division by it leaves the parts short that get the next requests.
func equalFraction(perPart float64) float64 {
	arrivals := perPart * countedSeconds
	reliability := arrivals / (arrivals + reliableArrivals)
	return 1 - (1-minEqualFraction)*reliability
}
