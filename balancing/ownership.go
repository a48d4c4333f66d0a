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
// its region when the domain has none. It returns false when neither has any.
// The order of the instances does not matter.
func Owner(upstream *routing.Upstream, instances []Instance) (string, bool) {
	owner, ok := highest(upstream.Name, instances, func(i Instance) bool {
		return i.FailureDomain == upstream.FailureDomain
	})
	if ok {
		return owner, true
	}
	return highest(upstream.Name, instances, func(i Instance) bool {
		return i.Region == upstream.Region
	})
}

// Owned returns the upstreams that the instance named self owns.
func Owned(self string, upstreams []*routing.Upstream, instances []Instance) []*routing.Upstream {
	return lo.Filter(upstreams, func(u *routing.Upstream, _ int) bool {
		owner, ok := Owner(u, instances)
		return ok && owner == self
	})
}

func highest(key string, instances []Instance, eligible func(Instance) bool) (string, bool) {
	var best string
	var bestHash uint64
	found := false
	for _, i := range instances {
		if !eligible(i) {
			continue
		}
		hash := rendezvousHash(key, i.Name)
		if !found || hash > bestHash || hash == bestHash && i.Name < best {
			best, bestHash, found = i.Name, hash, true
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
