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
	// leastBurst is the least size of a bucket: with less, tokens are lost between
	// two requests.
	leastBurst = 2
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
}

// burstPart is the part of what a customer may have in one window that may come
// at once. The rest is spread over the window.
const burstPart = 0.02

// Windowed returns the rate and burst of a token bucket that admits at most
// rate x window + burst requests in any window, also in each one after the other.
func Windowed(c Customer, window time.Duration) Customer {
	whole := c.Rate*window.Seconds() + c.Burst
	return Customer{
		Name:  c.Name,
		Rate:  whole * (1 - burstPart) / window.Seconds(),
		Burst: whole * burstPart,
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
}

// Divider divides the rates. One goroutine owns it.
type Divider struct {
	customers map[string]*customer
	peers     map[string]map[string]*series
	instances int
	complete  bool
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
	// held is the own demand that counts; it grows only while all peers are heard.
	held float64
}

// New returns a divider without customers, for one instance.
func New() *Divider {
	return &Divider{customers: map[string]*customer{}, peers: map[string]map[string]*series{}, instances: 1}
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

// SetPeers tells the names of the other instances, and whether all of them are
// heard. Those that are not named any more are forgotten.
func (d *Divider) SetPeers(names []string, complete bool) {
	known := make(map[string]bool, len(names))
	for _, name := range names {
		known[name] = true
	}
	for name := range d.peers {
		if !known[name] {
			delete(d.peers, name)
		}
	}
	d.instances = len(names) + 1
	d.complete = complete
}

// Hear takes in the demand of another instance.
func (d *Divider) Hear(now time.Time, peer string, demand Demand) {
	known := d.peers[peer]
	if known == nil {
		known = map[string]*series{}
		d.peers[peer] = known
	}
	for name, value := range demand {
		if known[name] == nil {
			known[name] = &series{}
		}
		known[name].add(now, value)
	}
	for name, s := range known {
		if _, told := demand[name]; !told {
			s.add(now, 0)
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
		c.demand, c.held = 0, 0
		c.announced = series{}
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
			c.announced.add(now, 0)
		}
		c.demand += smoothing * (arrived/elapsed - c.demand)
		c.announced.add(now, c.demand)
		settled := c.announced.settledLow()
		if settled < c.held || d.complete {
			c.held = settled
		}
	}
}

// Parts returns what this instance may use, sorted by customer.
func (d *Divider) Parts() []Part {
	parts := make([]Part, 0, len(d.customers))
	for name, c := range d.customers {
		part := d.part(name, c)
		parts = append(parts, Part{
			Customer: c.Customer,
			Rate:     c.Rate * part,
			Burst:    max(int(math.Floor(c.Burst*part)), leastBurst),
		})
	}
	slices.SortFunc(parts, func(a, b Part) int { return cmp.Compare(a.Customer.Name, b.Customer.Name) })
	return parts
}

// part returns the part of a customer's rate that this instance may use.
func (d *Divider) part(name string, c *customer) float64 {
	equal := 1 / float64(d.instances)
	total := c.held
	for _, peer := range d.peers {
		if s := peer[name]; s != nil {
			total += s.settledHigh()
		}
	}
	if total <= 0 {
		return equal
	}
	return floorShare*equal + (1-floorShare)*c.held/total
}
