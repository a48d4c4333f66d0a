package sharetable

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphireferry.example/ferry/invariant"
	"samphireferry.example/ferry/platform"
)

var start = time.Unix(1_000_000, 0)

// driverHarness runs a Driver against a store that accepts every write.
type driverHarness struct {
	t        *testing.T
	driver   *Driver
	now      time.Time
	revision platform.Revision
	view     View
}

func newHarness(t *testing.T, names ...string) *driverHarness {
	checker := &invariant.Checker{OnViolation: func(name invariant.Name, detail string) { t.Fatal(name, detail) }}
	b := &driverHarness{t: t, driver: NewDriver(DriverSettings{Checker: checker}), now: start, view: View{ListRead: true}}
	for _, name := range names {
		b.add(name, "g")
	}
	return b
}

func (b *driverHarness) add(name, group string) {
	b.view.Candidates = append(b.view.Candidates, Candidate{
		Name: name, Incarnation: name + "1", WitnessGroup: group, Listed: true, Reachable: true,
	})
}

func (b *driverHarness) candidate(name string) *Candidate {
	for i := range b.view.Candidates {
		if b.view.Candidates[i].Name == name {
			return &b.view.Candidates[i]
		}
	}
	b.t.Fatalf("no candidate %s", name)
	return nil
}

// step advances the time by one second and applies the next plan.
func (b *driverHarness) step() *Table {
	b.now = b.now.Add(time.Second)
	b.driver.SetMembers(b.now, b.view)
	if write, ok := b.driver.Plan(b.now); ok {
		assert.Equal(b.t, write.Expected, b.revision)
		b.revision++
		b.driver.Done(write, b.revision, nil)
	}
	return b.driver.Table()
}

func (b *driverHarness) steps(n int) *Table {
	for range n {
		b.step()
	}
	return b.driver.Table()
}

func (b *driverHarness) acknowledge(name, incarnation string, version uint64, askedAt time.Time) {
	b.driver.Ack(b.now, MemberState{Name: name, Incarnation: incarnation, Applied: version, AskedAt: askedAt})
}

// A lowered limit is reclaimed only after every member of its witness group has
// acknowledged the version and then responded to a later request.
func TestReclaimingNeedsTheGroupAtOneInstant(t *testing.T) {
	type ack struct {
		name, incarnation string
		version           uint64
		early             bool
	}
	both := []ack{{"a", "a1", 2, false}, {"b", "b1", 2, false}}
	for _, test := range []struct {
		name      string
		rounds    [][]ack
		reclaimed bool
	}{
		{"no response", nil, false},
		{"one member", [][]ack{{{"a", "a1", 2, false}}, {{"a", "a1", 2, false}}}, false},
		{"one round", [][]ack{both}, false},
		{"two rounds", [][]ack{both, both}, true},
		{"second round asked before the first ended", [][]ack{both, {{"a", "a1", 2, false}, {"b", "b1", 2, true}}}, false},
		{"older version", [][]ack{{{"a", "a1", 1, false}, {"b", "b1", 2, false}}, {{"a", "a1", 1, false}, {"b", "b1", 2, false}}}, false},
		{"replaced between the rounds", [][]ack{both, {{"a", "a1", 2, false}, {"b", "b2", 2, false}}}, false},
		{"unconfirmed in the second round", [][]ack{both, {{"a", "a1", 2, false}, {"b", "b1", 0, false}}}, false},
		{"member that is not listed", [][]ack{both, {{"a", "a1", 2, false}, {"x", "x1", 2, false}}}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newHarness(t, "a", "b")
			assert.Equal(t, b.step().Members["a"].Limit.Size(), Whole/2)
			b.add("c", "h")
			table := b.step()
			assert.Equal(t, table.Version, uint64(2))
			assert.Assert(t, table.Members["a"].Limit.Size() < Whole/2)
			for _, round := range test.rounds {
				before := b.now.Add(-time.Second)
				b.now = b.now.Add(10 * time.Millisecond)
				for _, a := range round {
					asked := b.now
					if a.early {
						asked = before
					}
					b.acknowledge(a.name, a.incarnation, a.version, asked)
				}
				table = b.step()
			}
			assert.Equal(t, table.Members["a"].heldEqualsLimit(), test.reclaimed)
			assert.Equal(t, table.Members["c"].Limit.Size() > 0, test.reclaimed)
		})
	}
}

// A member is emptied after it was unlisted and out of contact for GoneAfter, and
// removed only after that time has passed again.
func TestRemovalNeedsEvidence(t *testing.T) {
	seconds := int(DefaultGoneAfter / time.Second)
	for _, test := range []struct {
		name                       string
		listed, reachable, gap     bool
		listNotRead, replaced      bool
		emptied, removed, restored bool
	}{
		{name: "silent but listed", listed: true},
		{name: "not listed but reachable", reachable: true},
		{name: "not listed and silent", emptied: true, removed: true},
		{name: "list not read", listNotRead: true},
		{name: "driver paused in between", gap: true},
		{name: "replaced while its limit is empty", replaced: true, emptied: true, restored: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newHarness(t, "a", "b")
			b.add("c", "h")
			b.steps(1)
			limit := b.driver.Table().Members["c"].Limit
			c := b.candidate("c")
			c.Listed, c.Reachable = test.listed, test.reachable
			b.view.ListRead = !test.listNotRead
			b.steps(seconds - 1)
			if test.gap {
				b.now = b.now.Add(2 * DefaultViewMaxAge)
			}
			table := b.steps(5)
			assert.Equal(t, len(table.Members["c"].Limit) == 0, test.emptied)
			assert.Assert(t, table.Members["c"].Held.Contains(limit), "held before the second bound")
			if test.replaced {
				c.Listed, c.Reachable, c.Incarnation = true, true, "c2"
			}
			table = b.steps(seconds - 2)
			entry, member := table.Members["c"]
			assert.Equal(t, !member, test.removed)
			if test.restored {
				assert.Assert(t, entry.Incarnation == "c2" && entry.Limit.Size() == limit.Size())
			}
		})
	}
}

func TestUnreachableMemberBlocksItsGroupOnly(t *testing.T) {
	b := newHarness(t, "a", "b")
	b.add("c", "h")
	b.add("d", "h")
	held := b.step().Members["b"].Held
	b.candidate("b").Reachable = false
	b.add("e", "h")
	for range 8 {
		for _, name := range []string{"a", "c", "d", "e"} {
			b.acknowledge(name, name+"1", b.driver.Table().Version, b.now)
		}
		b.step()
	}
	table := b.driver.Table()
	assert.Assert(t, table.Members["b"].Held.Equal(held))
	assert.Assert(t, table.Members["a"].heldEqualsLimit())
	assert.Assert(t, table.Members["e"].Limit.Size() > Whole/10, "%d parts", table.Members["e"].Limit.Size())
}

func TestDeletedRecordIsWrittenAgain(t *testing.T) {
	b := newHarness(t, "a", "b")
	before := b.step()
	b.driver.Observe(platform.Entry{Key: platform.KeyShares, Revision: b.revision + 1, Deleted: true})
	b.revision = 0
	after := b.step()
	assert.Equal(t, after.Version, before.Version+1)
	assert.Assert(t, after.Members["a"].Limit.Equal(before.Members["a"].Limit))
}
