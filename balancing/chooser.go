package balancing

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Defaults of ChooserOptions.
const (
	defaultLoadMaxAge = 3 * time.Second
	// minGrant is the number of requests that may be in flight at an owner without a
	// grant, or with an outdated one. The owner refuses the excess.
	minGrant = 2
	// busyUtilization is the fraction of its slots in use from which an owner counts as busy.
	busyUtilization = 0.8
	// samplesPerTier bounds the number of owners at one distance that are compared.
	samplesPerTier = 8
	// maxChoices bounds the number of owners that Order returns.
	maxChoices = 4
)

// Distance is how far an owner is from this instance.
type Distance uint8

// The distances, nearest first.
const (
	// DistanceSelf is this instance.
	DistanceSelf Distance = iota
	// DistanceDomain is another instance of the failure domain.
	DistanceDomain
	// DistanceRegion is another failure domain of the region.
	DistanceRegion
	// DistanceFar is another region.
	DistanceFar

	distanceCount
)

// OwnerLoad is the load of one service version in the newest heartbeat of an owner.
type OwnerLoad struct {
	Instance Instance
	Slots    int
	InUse    int
	// Granted is the number of requests that this instance may have in flight there.
	Granted int
	// At is when the heartbeat was received.
	At time.Time
}

// ChooserOptions are the settings of a Chooser.
type ChooserOptions struct {
	Self Instance
	// MaxAge is the age after which a report counts as outdated. Default 3 s.
	MaxAge time.Duration
	// Links returns the link budgets towards a region; nil means no limit.
	Links func(region string) Link
	// Rand samples owners. The default has a fixed seed.
	Rand *rand.Rand
}

// Chooser orders the owners of the upstreams of one service version. It limits the
// requests in flight at each owner to the largest of the grant, the reported number of
// free slots and 2 (minGrant); the owner decides about requests beyond the grant. It is
// safe for concurrent use.
type Chooser struct {
	options ChooserOptions

	mu     sync.Mutex
	owners map[string]*owner
	tiers  [distanceCount][]*owner
}

// owner is one instance to which requests can be sent.
type owner struct {
	load     OwnerLoad
	distance Distance
	inFlight int
	// inFlightAtReport is the value of inFlight when the report was received.
	inFlightAtReport int
}

// NewChooser returns a chooser without owners.
func NewChooser(options ChooserOptions) *Chooser {
	options.MaxAge = cmp.Or(options.MaxAge, defaultLoadMaxAge)
	if options.Rand == nil {
		options.Rand = rand.New(rand.NewPCG(1, 1))
	}
	return &Chooser{options: options, owners: map[string]*owner{}}
}

// Update replaces the owners. The caller must omit leaving instances.
func (c *Chooser) Update(loads []OwnerLoad) {
	c.mu.Lock()
	defer c.mu.Unlock()
	old := c.owners
	c.owners = make(map[string]*owner, len(loads))
	c.tiers = [distanceCount][]*owner{}
	for _, load := range loads {
		o := old[load.Instance.Name]
		if o == nil {
			o = &owner{}
		}
		if load.At.After(o.load.At) {
			o.inFlightAtReport = o.inFlight
		}
		o.load = load
		o.distance = c.distance(load.Instance)
		c.owners[load.Instance.Name] = o
		c.tiers[o.distance] = append(c.tiers[o.distance], o)
	}
	c.keepInFlight(old)
}

// keepInFlight keeps the owners that are no longer listed but have requests in flight, so
// that these stay counted.
func (c *Chooser) keepInFlight(old map[string]*owner) {
	for name, o := range old {
		if c.owners[name] == nil && o.inFlight > 0 {
			o.load.Granted = 0
			o.load.Slots = 0
			c.owners[name] = o
		}
	}
}

func (c *Chooser) distance(i Instance) Distance {
	switch {
	case i.Name == c.options.Self.Name:
		return DistanceSelf
	case i.FailureDomain == c.options.Self.FailureDomain:
		return DistanceDomain
	case i.Region == c.options.Self.Region:
		return DistanceRegion
	}
	return DistanceFar
}

// Order returns the names of the instances to send a request to, best first: those with
// capacity, nearest first, then the busy ones, by utilization. self is the current load
// of this instance's own pool. Owners whose grant is used up, or whose link has no
// budget left, are omitted.
func (c *Chooser) Order(now time.Time, self PoolLoad, deferrable bool) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var choices []choice
	if self.Slots > 0 {
		utilization := float64(self.InUse+self.Queued) / float64(self.Slots)
		choices = append(choices, choice{c.options.Self.Name, DistanceSelf, utilization, utilization >= 1})
	}
	for _, tier := range c.tiers[DistanceDomain:] {
		choices = c.appendTier(choices, tier, now, deferrable)
	}
	slices.SortStableFunc(choices, compareChoices)
	names := make([]string, 0, maxChoices)
	for _, one := range choices[:min(len(choices), maxChoices)] {
		names = append(names, one.name)
	}
	return names
}

// choice is one candidate of Order.
type choice struct {
	name        string
	distance    Distance
	utilization float64
	busy        bool
}

func compareChoices(a, b choice) int {
	if a.busy != b.busy {
		if a.busy {
			return 1
		}
		return -1
	}
	if a.busy {
		return cmp.Or(cmp.Compare(a.utilization, b.utilization), cmp.Compare(a.distance, b.distance))
	}
	return cmp.Or(cmp.Compare(a.distance, b.distance), cmp.Compare(a.utilization, b.utilization))
}

// appendTier adds the usable owners of a random sample of the tier.
func (c *Chooser) appendTier(choices []choice, tier []*owner, now time.Time, deferrable bool) []choice {
	if len(tier) == 0 {
		return choices
	}
	start := c.options.Rand.IntN(len(tier))
	for i := range min(len(tier), samplesPerTier) {
		o := tier[(start+i)%len(tier)]
		if o.inFlight >= c.allowedInFlight(o, now) || !c.linkOpen(o, now, deferrable) {
			continue
		}
		utilization := o.utilization()
		busy := utilization >= busyUtilization || c.stale(o, now)
		choices = append(choices, choice{o.load.Instance.Name, o.distance, utilization, busy})
	}
	return choices
}

// utilization estimates the fraction of the slots in use, including the requests sent
// since the report.
func (o *owner) utilization() float64 {
	since := max(0, o.inFlight-o.inFlightAtReport)
	return float64(o.load.InUse+since) / float64(max(o.load.Slots, 1))
}

// stale reports whether the last report of the owner is older than MaxAge.
func (c *Chooser) stale(o *owner, now time.Time) bool {
	return now.Sub(o.load.At) > c.options.MaxAge
}

// allowedInFlight returns the number of requests that may be in flight at the owner: none
// if it has no slots, and minGrant while its report is outdated.
func (c *Chooser) allowedInFlight(o *owner, now time.Time) int {
	if o.load.Slots == 0 {
		return 0
	}
	if c.stale(o, now) {
		return minGrant
	}
	return max(o.load.Granted, minGrant, o.load.Slots-o.load.InUse)
}

func (c *Chooser) linkOpen(o *owner, now time.Time, deferrable bool) bool {
	if o.distance != DistanceFar || c.options.Links == nil {
		return true
	}
	return c.options.Links(o.load.Instance.Region).open(now, deferrable)
}

// Begin counts a request that is about to be sent to the owner. It returns false if the
// grant or the link budget is used up; otherwise the request must be ended with End.
func (c *Chooser) Begin(name string, now time.Time, deferrable bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	o := c.owners[name]
	if o == nil || o.inFlight >= c.allowedInFlight(o, now) || !c.linkOpen(o, now, deferrable) {
		return false
	}
	o.inFlight++
	return true
}

// End ends a request that Begin has accepted and charges the link for the bytes of the
// request and of the response.
func (c *Chooser) End(name string, now time.Time, requestBytes, responseBytes int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	o := c.owners[name]
	if o == nil {
		return
	}
	o.inFlight--
	if o.distance == DistanceFar && c.options.Links != nil {
		c.options.Links(o.load.Instance.Region).charge(now, requestBytes, responseBytes)
	}
}
