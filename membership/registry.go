package membership

import (
	"math/rand/v2"
	"time"

	"samphireferry.example/ferry/platform"
	"samphireferry.example/ferry/rpc/entrypb"
)

// Defaults and bounds of the registry.
const (
	// FullMeshLimit is the largest number of peers at which every peer is a
	// contact.
	FullMeshLimit = 32
	// NearContacts is the number of contacts in each other domain of the local
	// region.
	NearContacts = 3
	// FarContacts is the number of contacts in each domain of other regions.
	FarContacts = 1
	// FarFactor is how many times less often the contacts in other regions are
	// contacted.
	FarFactor = 4
	// SuspectIntervals is the number of heartbeat intervals without a heartbeat
	// until a peer is Suspect.
	SuspectIntervals = 3
	// SilentIntervals is the number of heartbeat intervals without a heartbeat
	// until a peer is Silent.
	SilentIntervals = 8
	// RotatePeriod is the time after which the contacts in other domains are
	// chosen again.
	RotatePeriod = 2 * time.Minute
	// UseRetention is the minimum time for which a peer stays a contact after Use.
	UseRetention = time.Minute
	// ForgetAfter is how long a peer is kept after it was last listed and its last
	// heartbeat was received.
	ForgetAfter = 10 * time.Minute
	// ByteBudget bounds the bytes per second of heartbeats in each direction.
	ByteBudget = 10 << 10
	// MaxExchangesPerSecond bounds the heartbeats that an instance sends and receives
	// per second, each of which costs processor time however few bytes it has.
	MaxExchangesPerSecond = 20.0

	defaultInterval = 500 * time.Millisecond
	// seedInterval is the time between two heartbeats to a seed.
	seedInterval = time.Second
	// intervalSteps is the number of steps in Config.Interval by which the interval
	// grows, so that the size of single states does not change it.
	intervalSteps = 8
	// exchangeJitter is the fraction by which the time between two exchanges
	// varies in either direction.
	exchangeJitter = 0.2
	// pauseIntervals is the number of intervals without a call of Due or Snapshot
	// that count as a pause of the owner.
	pauseIntervals = 2
	// messageOverhead is the size in bytes of the frames, headers and
	// acknowledgements around one heartbeat.
	messageOverhead = 150
	// avgStateBytesWeight is the weight of a new state in the moving average
	// avgStateBytes.
	avgStateBytesWeight = 0.01
	// maxReplaced bounds the replaced incarnations that are remembered.
	maxReplaced = 16384
)

// RoleEntry is the role of entry instances in the platform's list.
const RoleEntry = "entry"

// Config holds the settings of a registry.
type Config struct {
	// Self identifies the instance that owns the registry.
	Self *entrypb.Identity
	// Seeds are RPC addresses of instances that are contacted until they
	// respond, for the time when the platform's list cannot be read.
	Seeds []string
	// Interval is the minimum time between two heartbeats with a contact.
	// Default 500 ms.
	Interval time.Duration
	// Rand is the source of the heartbeat jitter. It is used by the owner's
	// goroutine only. Nil uses a fixed seed.
	Rand *rand.Rand
}

// Registry keeps what is known of the other entry instances. All methods are
// called from one goroutine; the snapshots may be read by any.
type Registry struct {
	config  Config
	members map[string]*member
	// byAddress finds members by their RPC address.
	byAddress map[string]*member
	// seeds maps an RPC address to when it was last tried; an address is
	// removed when an instance there has responded.
	seeds   map[string]time.Time
	regions map[string]string
	// replaced holds incarnations that were replaced; the value is whether the
	// successor has responded to a call.
	replaced map[string]bool
	// lastRetry maps a failure domain to when scheduleRetries last brought the
	// exchanges with its failed instances forward.
	lastRetry map[string]time.Time

	// firstList and lastList are when the first and the newest list were read.
	firstList time.Time
	lastList  time.Time
	// resumed is when the owner last ran again after a pause.
	resumed time.Time
	// lastActive is when detectPause was last called.
	lastActive time.Time
	// avgStateBytes is the moving average of the size of a received state,
	// including messageOverhead.
	avgStateBytes float64

	selfState   *entrypb.State
	selfChanged bool

	contacts      []*member
	contactsDirty bool
	// rotation is the number of the RotatePeriod for which the contacts were
	// chosen.
	rotation int64
	// leaders maps a failure domain to the name of its leader.
	leaders  map[string]string
	snapshot *Peers
	// indexDirty is set when the members, their incarnations or their domains
	// differ from the snapshot; the next one then gets a new index.
	indexDirty bool
	// generation is the number of the newest index.
	generation uint64
	// ordered holds the members in the order of the index.
	ordered []*member
	// changed holds the members whose Peer the last publish replaced.
	changed []*member
	// touched holds the members that were updated since the last publish.
	touched []*member
	// healthDue is the earliest time at which the health of a member changes if no heartbeat
	// arrives and no call fails; zero if there is none. It is valid while resumed and Interval
	// equal healthResumed and healthInterval.
	healthDue      time.Time
	healthResumed  time.Time
	healthInterval time.Duration
}

// NewRegistry returns a registry that knows the seeds only.
func NewRegistry(config Config, now time.Time) *Registry {
	if config.Interval <= 0 {
		config.Interval = defaultInterval
	}
	if config.Rand == nil {
		config.Rand = rand.New(rand.NewPCG(1, 1))
	}
	r := &Registry{
		config:        config,
		members:       map[string]*member{},
		byAddress:     map[string]*member{},
		seeds:         map[string]time.Time{},
		regions:       map[string]string{},
		replaced:      map[string]bool{},
		lastRetry:     map[string]time.Time{},
		avgStateBytes: messageOverhead,
		lastActive:    now,
		resumed:       now,
		indexDirty:    true,
	}
	for _, address := range config.Seeds {
		if address != config.Self.GetRpcAddress() {
			r.seeds[address] = time.Time{}
		}
	}
	return r
}

// SetRegions sets the region of each failure domain, for instances that are
// known from the platform's list only.
func (r *Registry) SetRegions(regions map[string]string) {
	r.regions = regions
	for _, m := range r.members {
		if m.state == nil {
			m.region = regions[m.domain]
		}
	}
	r.contactsDirty = true
	r.indexDirty = true
}

// SetInstances applies a newly read instance list of the platform. A list
// without any entry instance is ignored and is no evidence that instances are
// gone.
func (r *Registry) SetInstances(list []platform.Instance, now time.Time) {
	listed := map[string]platform.Instance{}
	for _, instance := range list {
		if instance.Role == RoleEntry {
			listed[instance.Name] = instance
		}
	}
	if len(listed) == 0 {
		return
	}
	if r.firstList.IsZero() {
		r.firstList = now
	}
	r.lastList = now
	for name, instance := range listed {
		if name != r.config.Self.GetName() && instance.RPCAddress != "" {
			r.updateListed(instance)
		}
	}
	for name, m := range r.members {
		if _, ok := listed[name]; !ok {
			m.markUnlisted(now)
			r.touch(m)
		}
	}
	r.removeExpired(now)
}

// updateListed applies one row of the list. Address and domain in the row are
// used only until a heartbeat of the instance has been received.
func (r *Registry) updateListed(row platform.Instance) {
	m := r.members[row.Name]
	if m == nil {
		m = &member{name: row.Name}
		r.members[row.Name] = m
		r.contactsDirty = true
		r.indexDirty = true
	}
	m.listed = true
	m.absentSince = time.Time{}
	if m.state == nil {
		r.indexDirty = r.indexDirty || m.domain != row.FailureDomain
		r.setAddress(m, row.RPCAddress)
		m.address = row.Address
		m.domain = row.FailureDomain
		m.region = r.regions[row.FailureDomain]
	}
	m.updateListState(row.State)
	r.touch(m)
}

// HandleFailure records that a call to the RPC address got no response. The peer
// is a contact, and Suspect or Silent, until a heartbeat is received from it
// again; the next heartbeat to it is due at once. An unknown address and a peer
// that has already failed are ignored.
func (r *Registry) HandleFailure(rpcAddress string, now time.Time) {
	m := r.byAddress[rpcAddress]
	if m == nil || !m.failedSince.IsZero() {
		return
	}
	m.failedSince = now
	m.nextExchange = now
	r.touch(m)
	r.contactsDirty = r.contactsDirty || !m.contact
}

// MarkUsed makes the named peer a contact for UseRetention, because traffic
// depends on it.
func (r *Registry) MarkUsed(name string, now time.Time) {
	m := r.members[name]
	if m == nil {
		return
	}
	if now.Sub(m.usedAt) > UseRetention {
		r.contactsDirty = true
	}
	m.usedAt = now
}

// removeExpired removes the peers that have neither been listed nor sent a
// heartbeat for ForgetAfter.
func (r *Registry) removeExpired(now time.Time) {
	for _, m := range r.members {
		gone := !m.listed && now.Sub(m.absentSince) > ForgetAfter && now.Sub(m.lastSeen) > ForgetAfter
		if gone {
			r.remove(m)
		}
	}
}
