package sharetable

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// tableOf returns a table that lists member a in the incarnation, b in the same
// witness group, and c in another.
func tableOf(version uint64, incarnation string) *Table {
	entry := func(incarnation, group string, firstPart int) Entry {
		limit := Ranges{{firstPart, firstPart + 100}}
		return Entry{Incarnation: incarnation, WitnessGroup: group, Limit: limit, Held: limit}
	}
	return &Table{Version: version, Members: map[string]Entry{
		"a": entry(incarnation, "g", 0), "b": entry("b1", "g", 100), "c": entry("c1", "h", 200),
	}}
}

func TestMemberConfirmation(t *testing.T) {
	before, after := start.Add(-time.Second), start.Add(time.Second)
	witness := func(name string, version uint64, attests bool, askedAt time.Time) func(*Member) {
		return func(m *Member) {
			m.ObserveState(MemberState{Name: name, Applied: version, Attests: attests, AskedAt: askedAt})
		}
	}
	adopt := func(version uint64, incarnation string) func(*Member) {
		return func(m *Member) { m.Adopt(tableOf(version, incarnation)) }
	}
	read := func(version uint64, askedAt time.Time) func(*Member) {
		return func(m *Member) { m.ReadFromStore(askedAt, version) }
	}
	pause := func(m *Member) { m.Tick(start.Add(time.Minute)) }
	later := start.Add(2 * time.Minute)
	for _, test := range []struct {
		name      string
		steps     []func(*Member)
		confirmed bool
	}{
		{"no table", nil, false},
		{"listed", []func(*Member){adopt(5, "a2")}, true},
		{"earlier process listed", []func(*Member){adopt(5, "a1")}, false},
		{"witness asked before the start", []func(*Member){adopt(5, "a1"), witness("b", 5, true, before)}, false},
		{"witness asked after the start", []func(*Member){adopt(5, "a1"), witness("b", 5, true, after)}, true},
		{"witness that does not attest", []func(*Member){adopt(5, "a1"), witness("b", 5, false, after)}, false},
		{"unconfirmed witness", []func(*Member){adopt(5, "a1"), witness("b", 0, true, after)}, false},
		{"peer of another group", []func(*Member){adopt(5, "a1"), witness("c", 5, true, after)}, false},
		{"witness with a newer table", []func(*Member){adopt(5, "a1"), witness("b", 6, true, after)}, false},
		{"newer table fetched", []func(*Member){adopt(5, "a1"), witness("b", 6, true, after), adopt(6, "a1")}, true},
		{"store asked before the start", []func(*Member){adopt(5, "a1"), read(5, before)}, false},
		{"store asked after the start", []func(*Member){adopt(5, "a1"), read(5, after)}, true},
		{"paused", []func(*Member){adopt(5, "a2"), pause}, false},
		{"paused and listed again", []func(*Member){adopt(5, "a2"), pause, adopt(6, "a2")}, false},
		{"paused and asked before its end", []func(*Member){adopt(5, "a2"), pause, witness("b", 5, true, after)}, false},
		{"paused and asked after it", []func(*Member){adopt(5, "a2"), pause, witness("b", 5, true, later)}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			m := NewMember(MemberSettings{Name: "a", Incarnation: "a2"}, start)
			for _, step := range test.steps {
				step(m)
			}
			m.Applied(m.Version())
			assert.Equal(t, m.Confirmed(), test.confirmed)
			assert.Equal(t, m.Acknowledged() > 0, test.confirmed)
			assert.Equal(t, m.Limit().Size() > 0, test.confirmed)
			assert.Assert(t, m.Version() == 0 || !m.Adopt(tableOf(4, "a2")), "adopted an older table")
		})
	}
}

func TestMemberWithoutLimitDoesNotAttest(t *testing.T) {
	m := NewMember(MemberSettings{Name: "a", Incarnation: "a1"}, start)
	m.Adopt(tableOf(5, "a1"))
	m.Applied(5)
	assert.Assert(t, m.State().Attests)
	lowered := tableOf(6, "a1")
	entry := lowered.Members["a"]
	entry.Limit = nil
	lowered.Members["a"] = entry
	m.Adopt(lowered)
	m.Applied(6)
	assert.Assert(t, m.Confirmed() && m.State().Applied == 6 && !m.State().Attests)
}
