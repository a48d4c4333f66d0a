package edge

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"samphireferry.example/ferry/platform"
	"samphireferry.example/ferry/rpc/entrypb"
)

// Guards against records that a peer never gets: the model looks at all of them.
func TestARecordSetHasTheResultOfAllRecords(t *testing.T) {
	prefixes := []string{"servers/", "op/evacuate/", "op/rollout/", "op/", "ferry/instances/"}
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 0))
		set, model := newRecordSet(), map[string]platform.Entry{}
		sorted := func(entries []platform.Entry) []platform.Entry {
			return slices.SortedFunc(slices.Values(entries), func(a, b platform.Entry) int { return strings.Compare(a.Key, b.Key) })
		}
		for n := range 400 {
			key := prefixes[random.IntN(len(prefixes))] + fmt.Sprint(random.IntN(20))
			// A full read has older revisions beside newer ones.
			revision := platform.Revision(1 + random.IntN(n+20))
			if old := model[key]; old.Revision <= revision {
				entry := platform.Entry{Key: key, Revision: revision, Deleted: random.IntN(3) == 0}
				set.put(entry)
				model[key] = entry
			}
			assert.Assert(t, equalEntries([]platform.Entry{set.get(key)}, []platform.Entry{model[key]}))
			assert.Assert(t, equalEntries(sorted(slices.Collect(set.all())), sorted(slices.Collect(maps.Values(model)))))
			after := platform.Revision(random.IntN(n + 25))
			var newer, withPrefix []platform.Entry
			prefix := prefixes[random.IntN(len(prefixes))]
			for _, entry := range model {
				if entry.Revision > after {
					newer = append(newer, entry)
				}
				if strings.HasPrefix(entry.Key, prefix) {
					withPrefix = append(withPrefix, entry)
				}
			}
			got := slices.Collect(set.after(after))
			assert.Assert(t, slices.IsSortedFunc(got, func(a, b platform.Entry) int { return int(a.Revision - b.Revision) }))
			assert.Assert(t, equalEntries(sorted(got), sorted(newer)))
			assert.Assert(t, equalEntries(sorted(slices.Collect(set.withPrefix(prefix))), sorted(withPrefix)))
			assert.Assert(t, len(set.changes) <= max(2*len(model), minCompactedChanges), "%d changes of %d records", len(set.changes), len(model))
		}
	}
}

// equalEntries compares all fields. It is much faster than assert.DeepEqual.
func equalEntries(a, b []platform.Entry) bool { return reflect.DeepEqual(a, b) || len(a)+len(b) == 0 }

// TestAPullLooksAtWhatHasChanged guards against a configuration that waits behind the pulls of
// peers (CONFIG): each looked at all records.
func TestAPullLooksAtWhatHasChanged(t *testing.T) {
	f := newUpstreamFleet(t, 1100)
	f.revision++
	f.read(f.entry(7, "draining", 0))
	looked := 0
	for range f.control.records.after(f.revision - 1) {
		looked++
	}
	assert.Equal(t, looked, 1)
	reply := make(chan *entrypb.GetConfigResponse, 1)
	recordsRequested{after: f.revision - 1, reply: reply}.apply(f.control, f.now)
	assert.Equal(t, len((<-reply).GetEntries()), 1)
}

// BenchmarkAPull measures the time for which the pull of one changed record occupies the control
// goroutine of the instance that is asked.
func BenchmarkAPull(b *testing.B) {
	for _, upstreams := range []int{40, 465, 1100} {
		b.Run(fmt.Sprint(upstreams), func(b *testing.B) {
			f := newUpstreamFleet(b, upstreams)
			f.revision++
			f.read(f.entry(7, "draining", 0))
			reply := make(chan *entrypb.GetConfigResponse, 1)
			for b.Loop() {
				recordsRequested{after: f.revision - 1, reply: reply}.apply(f.control, f.now)
				<-reply
			}
		})
	}
}
