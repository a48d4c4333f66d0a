package propagation

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"samphireferry.example/ferry/platform"
)

var (
	errTest = errors.New("no response")
	testNow = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
)

const testBound = 3 * time.Second

func newTestFollower() *Follower {
	return NewFollower(NewBudget(testBound), rand.New(rand.NewPCG(1, 1)))
}

func TestBudgetIsAThirdOfTheBound(t *testing.T) {
	b := NewBudget(testBound)
	assert.Equal(t, b.Total(), time.Second)
	// The store is read after peers had their time, and one failed read of it leaves time for
	// another source.
	assert.Assert(t, b.Hedge() < b.StoreAfter())
	assert.Assert(t, b.StoreAfter()+b.ReadTimeout() < b.Total())
}

// told is an announcement in a test.
type told struct {
	peer     string
	distance Distance
	revision platform.Revision
}

func TestNextSource(t *testing.T) {
	near, region, far := told{"near", SameDomain, 5}, told{"region", SameRegion, 5}, told{"far", OtherRegion, 5}
	budget := NewBudget(testBound)
	for name, test := range map[string]struct {
		told    []told
		covered platform.Revision
		// running and failed were asked at the time of the announcements.
		running, failed []string
		after           time.Duration
		leads           bool
		want            string
		none            bool
	}{
		"nothing is announced":                          {none: true},
		"what is announced is known":                    {told: []told{near}, covered: 5, none: true},
		"a peer of the own domain at once":              {told: []told{near, region, far}, want: "near"},
		"no peer of another domain at once":             {told: []told{region, far}, none: true},
		"the nearest of the other peers later":          {told: []told{region, far}, after: budget.Hedge(), want: "region"},
		"no second read at once":                        {told: []told{near, far}, running: []string{"near"}, none: true},
		"another peer beside one that does not respond": {told: []told{near, far}, running: []string{"near"}, after: budget.Hedge(), want: "far"},
		"another peer after a failure":                  {told: []told{near, far}, failed: []string{"near"}, after: budget.Hedge(), want: "far"},
		"the store when peers took too long":            {told: []told{near, far}, running: []string{"near"}, after: budget.StoreAfter(), want: Store},
		"the store when all peers failed":               {told: []told{near}, failed: []string{"near"}, after: budget.StoreAfter(), want: Store},
		"a leader waits for its own watch":              {told: []told{near}, leads: true, none: true},
		"a leader does not wait for ever":               {told: []told{near}, leads: true, after: budget.Hedge(), want: "near"},
	} {
		t.Run(name, func(t *testing.T) {
			f := newTestFollower()
			for _, a := range test.told {
				f.Announced(testNow, a.peer, a.distance, a.revision)
			}
			f.Covered(test.covered)
			for range append(test.running, test.failed...) {
				_, due := f.Next(testNow, false)
				assert.Assert(t, due)
			}
			for _, peer := range test.failed {
				f.Done(testNow, peer, testNow, errTest)
			}
			got, due := f.Next(testNow.Add(test.after), test.leads)
			assert.Equal(t, due, !test.none)
			assert.Equal(t, got, test.want)
		})
	}
}

func TestReadsAreBounded(t *testing.T) {
	f := newTestFollower()
	for _, peer := range []string{"a", "b", "c", "d", "e"} {
		f.Announced(testNow, peer, SameDomain, 5)
	}
	peers, store := 0, 0
	for now := testNow; now.Before(testNow.Add(testBound)); now = now.Add(time.Millisecond) {
		switch name, due := f.Next(now, false); {
		case due && name == Store:
			store++
		case due:
			peers++
		}
	}
	assert.Equal(t, peers, maxReads)
	assert.Equal(t, store, 1)
}

// Guards against an instance that reads the store again and again for a revision that a peer
// has made up.
func TestWhatTheStoreDoesNotHaveIsForgotten(t *testing.T) {
	f := newTestFollower()
	f.Announced(testNow, "faulty", SameDomain, 1<<30)
	_, _ = f.Next(testNow, false)
	f.Done(testNow, "faulty", testNow, errTest)
	later := testNow.Add(NewBudget(testBound).StoreAfter())
	source, due := f.Next(later, false)
	assert.Assert(t, due)
	assert.Equal(t, source, Store)
	f.Covered(10)
	f.Done(later, Store, later, nil)
	assert.Equal(t, f.Behind(later), time.Duration(0))
	_, due = f.Next(later.Add(testBound), false)
	assert.Assert(t, !due)
}

// Guards against a source that is avoided after it has passed on a change, because it
// announced the next one during the read.
func TestASourceIsReadAgainForTheNextChange(t *testing.T) {
	f := newTestFollower()
	f.Announced(testNow, "near", SameDomain, 5)
	_, due := f.Next(testNow, false)
	assert.Assert(t, due)
	later := testNow.Add(10 * time.Millisecond)
	f.Announced(later, "near", SameDomain, 6)
	f.Covered(5)
	f.Done(later, "near", testNow, nil)
	assert.Equal(t, f.Behind(later), time.Duration(0), "the wait for revision 5 is over")
	source, due := f.Next(later, false)
	assert.Assert(t, due)
	assert.Equal(t, source, "near")
}

func TestContactsAreTheNextOfTheRingAndOthers(t *testing.T) {
	ring := []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"}
	seen := map[string]bool{}
	for _, self := range []string{"h1", "h2", "h3", "h4", "h5"} {
		contacts := Contacts(self, ring, 8)
		assert.DeepEqual(t, contacts[:2], [][]string{{"i", "a", "c"}, {"j", "b", "d"}})
		assert.Equal(t, len(contacts[2]), 3)
		assert.DeepEqual(t, contacts, Contacts(self, ring, 8))
		for _, name := range contacts[2] {
			seen[name] = true
		}
	}
	assert.DeepEqual(t, seen, map[string]bool{"e": true, "f": true, "g": true, "h": true})
	assert.DeepEqual(t, Contacts("s", ring[:3], 1), [][]string{{"b", "a"}, {"c"}, nil})
	assert.DeepEqual(t, Contacts("s", nil, 0), make([][]string, 3))
}

// Guards against a faulty peer that makes every instance read the store without end, by
// announcing revisions that the store does not have.
func TestAFaultyPeerCausesFewReadsOfTheStore(t *testing.T) {
	for name, grows := range map[string]bool{"the same revision in each heartbeat": false, "an ever newer one": true} {
		t.Run(name, func(t *testing.T) {
			f := NewFollower(NewBudget(testBound), rand.New(rand.NewPCG(1, 1)))
			f.Covered(10)
			type running struct {
				name string
				at   time.Time
			}
			var reads []running
			store, peers := 0, 0
			revision := platform.Revision(1 << 30)
			const minute = 60
			for tick := range minute * 10 {
				now := testNow.Add(time.Duration(tick) * 100 * time.Millisecond)
				for _, r := range reads {
					f.Done(now, r.name, r.at, nil)
				}
				reads = nil
				if tick%10 == 0 {
					f.Announced(now, "faulty", SameDomain, revision)
					if grows {
						revision++
					}
				}
				for {
					name, due := f.Next(now, false)
					if !due {
						break
					}
					if name == Store {
						store++
					} else {
						peers++
					}
					reads = append(reads, running{name, now})
				}
			}
			assert.Assert(t, store <= 10, "%d reads of the store and %d of the peer in a minute, by one instance", store, peers)
		})
	}
}

// Guards against a store that is read late because as many peers as may be read at once do not
// respond.
func TestTheStoreIsReadWhenAllPeersHang(t *testing.T) {
	f := newTestFollower()
	for _, peer := range []string{"a", "b", "c", "d"} {
		f.Announced(testNow, peer, SameDomain, 5)
	}
	b := NewBudget(testBound)
	for d := time.Duration(0); d <= b.StoreAfter()+b.Hedge(); d += time.Millisecond {
		if name, due := f.Next(testNow.Add(d), false); due && name == Store {
			return
		}
	}
	t.Fatalf("the store was not read within %v", b.StoreAfter()+b.Hedge())
}
