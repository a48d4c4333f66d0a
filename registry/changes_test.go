package registry

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// trial drives a Registry by the changes of a store, and a model by all of its entries.
type trial struct {
	t        *testing.T
	random   *rand.Rand
	registry *Registry
	model    *model
	// copied holds what TakeChanges reported.
	copied map[string]*Upstream
	now    time.Time
	// store holds the entries of the store, read those that were read last.
	store, read map[string]Entry
	revision    int64
	// backup is a copy of the store, nil when there is none.
	backup map[string]Entry
	// counts holds how often a case occurred.
	counts map[string]int
}

func (x *trial) chance(percent int) bool { return x.random.IntN(100) < percent }

// write changes one entry of the store.
func (x *trial) write() {
	x.revision++
	id := fmt.Sprintf("u-%d", x.random.IntN(12))
	entry, ok := x.store[id]
	switch {
	case ok && x.chance(35):
		delete(x.store, id)
		return
	case ok && x.chance(50):
		entry.State = Draining
	case !ok || x.chance(50):
		entry = Entry{ID: id, Service: "lookup", FailureDomain: "east-1", Slots: 3, Started: x.revision, Address: fmt.Sprint("10.0.0.1:", x.revision)}
		entry.ColdFor = time.Duration(x.random.IntN(3)) * time.Second
	}
	entry.Revision = x.revision
	x.store[id] = entry
}

// restore replaces the store by its copy, which has new revisions.
func (x *trial) restore() {
	x.store = maps.Clone(x.backup)
	for _, id := range slices.Sorted(maps.Keys(x.store)) {
		x.revision++
		entry := x.store[id]
		entry.Revision = x.revision
		x.store[id] = entry
	}
	x.registry.StoreRestored(x.now)
	x.model.StoreRestored(x.now)
	x.counts["restores"]++
}

// apply passes what has changed in the store since the last read to the registry, and everything
// to the model.
func (x *trial) apply() {
	var changed []Entry
	var missing []string
	for id, entry := range x.store {
		if known, ok := x.read[id]; !ok || known != entry || x.chance(3) {
			changed = append(changed, entry)
		}
	}
	for id := range x.read {
		if _, ok := x.store[id]; !ok {
			missing = append(missing, id)
		}
	}
	x.read = maps.Clone(x.store)
	if len(changed)+len(missing) == 0 {
		return
	}
	confirmed := x.model.ConfirmsRemovals(x.now)
	if x.chance(30) {
		confirmed = x.chance(50)
	}
	entries := slices.Collect(maps.Values(x.store))
	assert.Equal(x.t, x.registry.Apply(x.now, changed, missing, confirmed), x.model.Replace(x.now, entries, confirmed))
}

// step does one thing at random.
func (x *trial) step() {
	x.now = x.now.Add(time.Duration(x.random.IntN(900)) * time.Millisecond)
	switch n := x.random.IntN(100); {
	case n < 40:
		x.write()
	case n < 75:
		x.apply()
	case n < 80:
		x.registry.StoreUnavailable()
		x.model.StoreUnavailable()
	case n < 87:
		x.registry.StoreAvailable(x.now)
		x.model.StoreAvailable(x.now)
	case n < 89:
		x.registry.StoreAvailableToPeers()
		x.model.StoreAvailableToPeers()
	case n < 92:
		x.backup = maps.Clone(x.store)
	case n < 95 && x.backup != nil:
		x.restore()
		x.apply()
	case n == 95:
		x.now = x.now.Add(removalMemory)
	default:
		assert.Equal(x.t, x.registry.Tick(x.now), x.model.Tick(x.now))
	}
}

// compare checks that the registry is equal to the model, and that TakeChanges reports all.
func (x *trial) compare() {
	x.t.Helper()
	equal := func(a, b *Upstream) bool { return *a == *b }
	assert.Assert(x.t, maps.EqualFunc(x.registry.upstreams, x.model.upstreams, equal), "%v, %v", x.registry.All(), x.model.upstreams)
	assert.DeepEqual(x.t, x.registry.held, x.model.held)
	assert.Assert(x.t, maps.Equal(x.registry.removed, x.model.removed))
	assert.Equal(x.t, x.registry.ConfirmsRemovals(x.now), x.model.ConfirmsRemovals(x.now))
	lapsed := map[string]bool{}
	for id, u := range x.registry.upstreams {
		if u.lapsed {
			lapsed[id] = true
		}
	}
	assert.DeepEqual(x.t, x.registry.lapsed, lapsed)
	x.counts["lapsed"] += len(lapsed)
	x.counts["held"] += len(x.registry.held)
	if x.chance(50) {
		return
	}
	changed, gone := x.registry.TakeChanges()
	for _, u := range changed {
		x.copied[u.ID] = u
	}
	for _, id := range gone {
		delete(x.copied, id)
	}
	assert.Assert(x.t, maps.EqualFunc(x.copied, x.registry.upstreams, equal))
}

// Guards against upstreams that differ from what the store says, because only the entries that
// changed are looked at: the model looks at all of them at each change.
func TestChangesHaveTheResultOfAllEntries(t *testing.T) {
	counts := map[string]int{}
	for seed := range uint64(200) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			x := &trial{
				t: t, random: rand.New(rand.NewPCG(seed, 0)), registry: New(0), model: newModel(0), counts: counts,
				copied: map[string]*Upstream{}, now: start, store: map[string]Entry{}, read: map[string]Entry{},
			}
			for range 300 {
				x.step()
				x.compare()
			}
		})
	}
	for _, name := range []string{"restores", "lapsed", "held"} {
		assert.Assert(t, counts[name] > 1000, "%s: %d", name, counts[name])
	}
}
