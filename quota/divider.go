package quota

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// floorShare is the part of a rate that is divided equally.
	floorShare = 0.5
	// leastBurst is the least size of a bucket: a loan takes room for a part of a
	// token, and what is left must hold a whole one.
	leastBurst = 2
	// calmPart is the part of a customer's rate up to which its demand is not bound
	// by it; the rest covers what the demand grows by unheard.
	calmPart = 0.8
	// pressedPart is the part beyond which loans are in vain. Refused requests come
	// again and count twice, so it lies well above the rate.
	pressedPart = 2.5
	// allowanceUsed is the part of the allowance that the buckets use; the rest
	// covers what the divisions of two instances differ by.
	allowanceUsed = 0.8
	// pauseBound is a gap between two ticks after which the demand of the others
	// is not known any more, as after a suspension of the machine.
	pauseBound = 2 * time.Second
)

// Customer is a customer with a limit.
type Customer struct {
	Name string
	// Rate is in requests per second over all instances; 0 is no limit.
	Rate float64
	// Burst is the number of requests that may come at once.
	Burst float64
	// Allowance is the number of requests by which a window may exceed them.
	Allowance float64
}

// burstPart is the part of what a customer may have in one window that may come
// at once. The rest is spread over the window.
const burstPart = 0.02

// Tolerance is what all instances together may admit beyond a customer's rate and
// burst in one window: excess times what the window allows, and slack requests.
type Tolerance struct {
	Window time.Duration
	Excess float64
	Slack  float64
}

// Windowed returns the rate and burst of a token bucket that admits at most
// rate x window + burst requests in any window, also in each one after the other.
func Windowed(c Customer, t Tolerance) Customer {
	whole := c.Rate*t.Window.Seconds() + c.Burst
	return Customer{
		Name:      c.Name,
		Rate:      whole * (1 - burstPart) / t.Window.Seconds(),
		Burst:     whole * burstPart,
		Allowance: whole*t.Excess + t.Slack,
	}
}

// Demand is what callers ask of one instance for one customer, in requests per
// second.
type Demand map[string]float64

// Part is what one instance may use of a customer's rate and burst.
type Part struct {
	Customer Customer
	Rate     float64
	Burst    int
	// Pressed says that all instances together are asked for much more than the rate.
	Pressed bool
}

// Divider divides the rates. One goroutine owns it.
type Divider struct {
	customers map[string]*customer
	peers     map[string]map[string]*series
	others    Peers
	sampledAt time.Time
	tickedAt  time.Time
}

// customer is what the limiter knows of one customer.
type customer struct {
	Customer
	arrivals uint64
	demand   float64
	// announced are the demands that the peers were told.
	announced series
	// calm says that all together are asked for clearly less than the rate, pressed
	// that it is much more.
	calm    bool
	pressed bool
	// held is the own demand that counts; it grows only while all peers are heard.
	held float64
	// domain and domainHeld are the same for the own failure domain, where the
	// others are heard by domain.
	domain     series
	domainHeld float64
}

// New returns a divider without customers, for one instance.
func New() *Divider {
	return &Divider{customers: map[string]*customer{}, peers: map[string]map[string]*series{}, others: Peers{Instances: 1, Settle: DirectSettle}}
}

// Configure replaces the customers. Those without a rate are not divided.
func (d *Divider) Configure(customers []Customer) {
	old := d.customers
	d.customers = make(map[string]*customer, len(customers))
	for _, c := range customers {
		if c.Rate <= 0 {
			continue
		}
		known := old[c.Name]
		if known == nil {
			known = &customer{}
		}
		known.Customer = c
		d.customers[c.Name] = known
	}
}

// Peers are the others that announce demand. Where all instances hear each other
// there are no domains, and Near holds all of them.
type Peers struct {
	// Near are the instances that are heard themselves.
	Near []string
	// Domains are the other failure domains, of which sums are heard.
	Domains []string
	// Instances is the number of entry instances, this one included.
	Instances int
	// Complete says that all of them are heard.
	Complete bool
	// Settle is the time after which every instance knows an announcement.
	Settle time.Duration
}

// SetPeers replaces the others. Those that are not named any more are forgotten.
func (d *Divider) SetPeers(others Peers) {
	known := make(map[string]bool, len(others.Near)+len(others.Domains))
	for _, name := range others.Near {
		known[name] = true
	}
	for _, name := range others.Domains {
		known[name] = true
	}
	for name := range d.peers {
		if !known[name] {
			delete(d.peers, name)
		}
	}
	d.others = others
}

// Hear takes in the demand of another source.
func (d *Divider) Hear(now time.Time, source string, demand Demand) {
	known := d.peers[source]
	if known == nil {
		known = map[string]*series{}
		d.peers[source] = known
	}
	for name, value := range demand {
		if known[name] == nil {
			known[name] = &series{}
		}
		known[name].add(now, value, d.others.Settle)
	}
	for name, s := range known {
		if _, told := demand[name]; !told {
			s.add(now, 0, d.others.Settle)
		}
	}
}

// Demand returns what the peers are to be told.
func (d *Divider) Demand() Demand {
	demand := Demand{}
	for name, c := range d.customers {
		if value := c.announced.newest(); value > 0 {
			demand[name] = value
		}
	}
	return demand
}

// Tick takes in the arrivals that were counted so far, by customer.
func (d *Divider) Tick(now time.Time, arrivals func(name string) uint64) {
	if !d.tickedAt.IsZero() && now.Sub(d.tickedAt) > pauseBound {
		d.resume()
	}
	d.tickedAt = now
	if now.Sub(d.sampledAt) >= sampleInterval {
		d.sample(now, arrivals)
	}
}

// resume takes back the own demand after a pause: the others may have divided
// without this instance.
func (d *Divider) resume() {
	for _, c := range d.customers {
		c.demand, c.held, c.domainHeld = 0, 0, 0
		c.announced, c.domain = series{}, series{}
	}
}

func (d *Divider) sample(now time.Time, arrivals func(name string) uint64) {
	elapsed := now.Sub(d.sampledAt).Seconds()
	first := d.sampledAt.IsZero()
	d.sampledAt = now
	for name, c := range d.customers {
		total := arrivals(name)
		arrived := float64(total - min(c.arrivals, total))
		c.arrivals = total
		if first {
			continue
		}
		if len(c.announced.samples) == 0 {
			// Until now the others know of no demand.
			c.announced.add(now, 0, d.others.Settle)
		}
		c.demand += smoothing * (arrived/elapsed - c.demand)
		c.announced.add(now, c.demand, d.others.Settle)
		everywhere := d.everywhere(name, c)
		c.calm = everywhere <= calmPart*c.Rate
		c.pressed = everywhere > pressedPart*c.Rate
		c.held = d.hold(c.held, c.announced.settledLow(c.calm))
		c.domain.add(now, c.demand+d.newest(name, d.others.Near), d.others.Settle)
		c.domainHeld = d.hold(c.domainHeld, c.domain.settledLow(c.calm))
	}
}

// Parts returns what this instance may use, sorted by customer.
func (d *Divider) Parts() []Part {
	parts := make([]Part, 0, len(d.customers))
	for _, c := range d.customers {
		part := d.part(c)
		parts = append(parts, Part{
			Customer: c.Customer,
			Rate:     c.Rate * part,
			Burst:    max(int(math.Round((c.Burst+c.Allowance*allowanceUsed)*part)), leastBurst),
			Pressed:  c.pressed,
		})
	}
	slices.SortFunc(parts, func(a, b Part) int { return cmp.Compare(a.Customer.Name, b.Customer.Name) })
	return parts
}

// hold returns the demand that counts: it grows only while all peers are heard.
func (d *Divider) hold(held, settled float64) float64 {
	if settled < held || d.others.Complete {
		return settled
	}
	return held
}

// part returns the part of a customer's rate that this instance may use: that of
// its failure domain, where the others are heard by domain, and its own part of it.
func (d *Divider) part(c *customer) float64 {
	if len(d.others.Domains) == 0 {
		return d.divide(c, c.held, d.others.Near, 1/float64(d.others.Instances))
	}
	near := float64(len(d.others.Near) + 1)
	domain := d.divide(c, c.domainHeld, d.others.Domains, near/float64(d.others.Instances))
	return domain * d.divide(c, c.held, d.others.Near, 1/near)
}

// divide returns the part of one that asks held beside the others. What it counts
// is settled on both sides; what neither side counts yet is divided equally.
func (d *Divider) divide(c *customer, held float64, others []string, equal float64) float64 {
	total, counted := held, held+d.newest(c.Name, others)
	for _, peer := range others {
		if s := d.peers[peer][c.Name]; s != nil {
			total += s.settledHigh(c.calm)
		}
	}
	if total <= 0 {
		return equal
	}
	open := 1 - counted/total
	return floorShare*equal + (1-floorShare)*(held/total+open*equal)
}

// newest adds up what the others announced last.
func (d *Divider) newest(name string, others []string) float64 {
	total := 0.0
	for _, peer := range others {
		if s := d.peers[peer][name]; s != nil {
			total += s.newest()
		}
	}
	return total
}

// everywhere is the demand of all instances as it was announced last.
func (d *Divider) everywhere(name string, c *customer) float64 {
	return c.demand + d.newest(name, d.others.Near) + d.newest(name, d.others.Domains)
}
