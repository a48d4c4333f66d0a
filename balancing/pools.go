package balancing

import (
	"cmp"
	"slices"
	"sync"

	"github.com/samber/lo"

	"samphireferry.example/ferry/routing"
)

// VersionKey names one version of a service.
type VersionKey struct {
	Service string
	Version string
}

// VersionPool is the pool of one service version with the grants to other instances.
type VersionPool struct {
	Key    VersionKey
	Pool   *Pool
	Grants *Grants
}

// Pools holds the pools of all service versions of which this instance owns
// upstreams. It is safe for concurrent use.
type Pools struct {
	options PoolOptions

	mu      sync.RWMutex
	pools   map[VersionKey]*VersionPool
	table   *routing.Table
	owned   map[string]*routing.Upstream
	leaving map[string]bool
}

// NewPools returns an empty set of pools. The options apply to each pool, except that
// the queue timeout of the service takes precedence.
func NewPools(options PoolOptions) *Pools {
	return &Pools{
		options: options,
		pools:   map[VersionKey]*VersionPool{},
		owned:   map[string]*routing.Upstream{},
	}
}

// Update sets the table and the upstreams that this instance owns. An upstream that the
// previous table did not have, or had with another service, version or address, starts
// cold; any other upstream that is newly owned starts with a short ramp.
func (p *Pools) Update(table *routing.Table, owned []*routing.Upstream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	groups := lo.GroupBy(owned, keyOf)
	for key := range groups {
		if p.pools[key] == nil {
			p.pools[key] = p.newPool(key, table)
		}
	}
	for key, vp := range p.pools {
		vp.Pool.Update(groups[key])
	}
	p.startRamps(owned)
	p.table = table
	p.owned = lo.KeyBy(owned, func(u *routing.Upstream) string { return u.Name })
}

func keyOf(u *routing.Upstream) VersionKey { return VersionKey{u.Service, u.Version} }

func (p *Pools) newPool(key VersionKey, table *routing.Table) *VersionPool {
	options := p.options
	if s := table.Service(key.Service); s != nil {
		options.QueueTimeout = cmp.Or(s.QueueTimeout, options.QueueTimeout)
	}
	vp := &VersionPool{Key: key, Pool: NewPool(options), Grants: NewGrants(options.Checker)}
	vp.Pool.SetLeaving(p.leaving)
	return vp
}

func (p *Pools) startRamps(owned []*routing.Upstream) {
	known := p.knownUpstreams()
	for _, u := range owned {
		pool := p.pools[keyOf(u)].Pool
		switch {
		case p.table != nil && !sameProcess(known[u.Name], u):
			pool.MarkCold(u.Name)
		case p.owned[u.Name] == nil:
			pool.MarkAdopted(u.Name)
		}
	}
}

// knownUpstreams returns all upstreams of the previous table by name.
func (p *Pools) knownUpstreams() map[string]*routing.Upstream {
	known := map[string]*routing.Upstream{}
	if p.table == nil {
		return known
	}
	for _, s := range p.table.Services {
		for _, u := range s.Upstreams {
			known[u.Name] = u
		}
	}
	return known
}

// sameProcess reports whether both are the same process, with warm caches.
func sameProcess(a, b *routing.Upstream) bool {
	return a != nil && keyOf(a) == keyOf(b) && a.Address == b.Address
}

// Get returns the pool of the version, or nil if this instance has never owned an
// upstream of it.
func (p *Pools) Get(key VersionKey) *VersionPool {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.pools[key]
}

// All returns the pools, sorted by service and version.
func (p *Pools) All() []*VersionPool {
	p.mu.RLock()
	defer p.mu.RUnlock()
	all := lo.Values(p.pools)
	slices.SortFunc(all, func(a, b *VersionPool) int {
		return cmp.Or(cmp.Compare(a.Key.Service, b.Key.Service), cmp.Compare(a.Key.Version, b.Key.Version))
	})
	return all
}

// Observe passes the result of a probe to the pool of the upstream.
func (p *Pools) Observe(result ProbeResult) {
	p.mu.RLock()
	u := p.owned[result.Upstream]
	p.mu.RUnlock()
	if u == nil {
		return
	}
	if vp := p.Get(keyOf(u)); vp != nil {
		vp.Pool.Observe(result)
	}
}

// SetLeaving sets the upstreams that the platform lists as leaving, for existing pools
// and for those created later. The map must not be modified afterwards.
func (p *Pools) SetLeaving(names map[string]bool) {
	p.mu.Lock()
	p.leaving = names
	p.mu.Unlock()
	for _, vp := range p.All() {
		vp.Pool.SetLeaving(names)
	}
}

// Divide sets the grants of all pools. It is called once per heartbeat.
func (p *Pools) Divide() {
	for _, vp := range p.All() {
		vp.Grants.Divide(vp.Pool.Load())
	}
}
