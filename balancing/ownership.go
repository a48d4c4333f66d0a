package balancing

import (
	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"samphireferry.example/ferry/routing"
)

// Instance is a live entry instance that can own upstreams.
type Instance struct {
	Name          string
	FailureDomain string
	Region        string
}

// Owner returns the name of the instance that owns the upstream: the one with
// the highest rendezvous hash among the instances of its failure domain, or of
// its region if the domain has none. It returns false if neither has any. The order of
// the instances does not matter.
func Owner(upstream *routing.Upstream, instances []Instance) (string, bool) {
	return newInstanceIndex(instances).owner(upstream)
}

// Owned returns the upstreams that the instance named self owns.
func Owned(self string, upstreams []*routing.Upstream, instances []Instance) []*routing.Upstream {
	index := newInstanceIndex(instances)
	return lo.Filter(upstreams, func(u *routing.Upstream, _ int) bool {
		owner, ok := index.owner(u)
		return ok && owner == self
	})
}

// instanceIndex holds the names of the instances by failure domain and by region, so that
// an upstream is compared only with those of its domain or region.
type instanceIndex struct {
	byDomain map[string][]string
	byRegion map[string][]string
}

func newInstanceIndex(instances []Instance) instanceIndex {
	index := instanceIndex{byDomain: map[string][]string{}, byRegion: map[string][]string{}}
	for _, i := range instances {
		index.byDomain[i.FailureDomain] = append(index.byDomain[i.FailureDomain], i.Name)
		index.byRegion[i.Region] = append(index.byRegion[i.Region], i.Name)
	}
	return index
}

func (x instanceIndex) owner(upstream *routing.Upstream) (string, bool) {
	names := x.byDomain[upstream.FailureDomain]
	if len(names) == 0 {
		names = x.byRegion[upstream.Region]
	}
	return highestRanked(upstream.Name, names)
}

// highestRanked returns the name with the highest rendezvous hash for the key, or false
// if there are no names.
func highestRanked(key string, names []string) (best string, found bool) {
	var bestHash uint64
	for _, name := range names {
		hash := rendezvousHash(key, name)
		if !found || hash > bestHash || hash == bestHash && name < best {
			best, bestHash, found = name, hash, true
		}
	}
	return best, found
}

func rendezvousHash(key, instance string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(instance)
	return d.Sum64()
}
