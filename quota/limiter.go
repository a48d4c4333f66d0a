package quota

import (
	"sync"
	"time"
)

const (
	// floorShare is the part of a rate that is divided equally.
	floorShare = 0.3
	// leastSize lets an instance with a small part save up for one request.
	leastSize = 1.0
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

// Demand is what callers ask of one instance for one customer, in requests per
// second.
type Demand map[string]float64

// Limiter admits requests. It is safe for concurrent use.
type Limiter struct {
	mu        sync.Mutex
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
	bucket   bucket
	arrivals int
	demand   float64
	// announced are the demands that the peers were told.
	announced series
	// held is the own demand that counts; it grows only while all peers are heard.
	held float64
}

// New returns a limiter without customers, for one instance.
func New() *Limiter {
	return &Limiter{customers: map[string]*customer{}, peers: map[string]map[string]*series{}, instances: 1}
}

// Configure replaces the customers. The buckets of those that stay are kept.
func (l *Limiter) Configure(now time.Time, customers []Customer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	old := l.customers
	l.customers = make(map[string]*customer, len(customers))
	for _, c := range customers {
		known := old[c.Name]
		if known == nil {
			known = &customer{}
		}
		known.Customer = c
		l.customers[c.Name] = known
	}
	l.divide(now)
}

// Admit takes a token of the customer. One that is not limited is admitted.
func (l *Limiter) Admit(now time.Time, name string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.customers[name]
	if c == nil || c.Rate <= 0 {
		return true
	}
	c.arrivals++
	return c.bucket.take(now)
}

// SetPeers tells the names of the other instances, and whether all of them are
// heard. Those that are not named any more are forgotten.
func (l *Limiter) SetPeers(names []string, complete bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := make(map[string]bool, len(names))
	for _, name := range names {
		known[name] = true
	}
	for name := range l.peers {
		if !known[name] {
			delete(l.peers, name)
		}
	}
	l.instances = len(names) + 1
	l.complete = complete
}

// Hear takes in the demand of another instance.
func (l *Limiter) Hear(now time.Time, peer string, demand Demand) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.peers[peer]
	if known == nil {
		known = map[string]*series{}
		l.peers[peer] = known
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
func (l *Limiter) Demand() Demand {
	l.mu.Lock()
	defer l.mu.Unlock()
	demand := Demand{}
	for name, c := range l.customers {
		if value := c.announced.newest(); value > 0 {
			demand[name] = value
		}
	}
	return demand
}

// Tick samples the arrivals and divides the rates anew.
func (l *Limiter) Tick(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.tickedAt.IsZero() && now.Sub(l.tickedAt) > pauseBound {
		l.resume(now)
	}
	l.tickedAt = now
	if now.Sub(l.sampledAt) >= sampleInterval {
		l.sample(now)
	}
	l.divide(now)
}

// resume takes back the own demand after a pause: the others may have divided
// without this instance.
func (l *Limiter) resume(now time.Time) {
	for _, c := range l.customers {
		c.demand, c.held = 0, 0
		c.announced = series{}
		c.bucket.fill(now)
		c.bucket.tokens = 0
	}
}

func (l *Limiter) sample(now time.Time) {
	elapsed := now.Sub(l.sampledAt)
	first := l.sampledAt.IsZero()
	l.sampledAt = now
	if first {
		return
	}
	for _, c := range l.customers {
		c.demand += smoothing * (float64(c.arrivals)/elapsed.Seconds() - c.demand)
		c.arrivals = 0
		c.announced.add(now, c.demand)
		settled := c.announced.lowest()
		if settled < c.held || l.complete {
			c.held = settled
		}
	}
}

// divide sets the buckets to the parts of this instance.
func (l *Limiter) divide(now time.Time) {
	for name, c := range l.customers {
		part := l.part(name, c)
		c.bucket.set(now, c.Rate*part, max(c.Burst*part, leastSize))
	}
}

// part returns the part of a customer's rate that this instance may use.
func (l *Limiter) part(name string, c *customer) float64 {
	equal := 1 / float64(l.instances)
	total := c.held
	for _, peer := range l.peers {
		if s := peer[name]; s != nil {
			total += s.highest()
		}
	}
	if total <= 0 || c.held <= 0 {
		return floorShare * equal
	}
	return floorShare*equal + (1-floorShare)*c.held/total
}
