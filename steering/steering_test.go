package steering

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphireferry.example/ferry/config/dynamic"
	"samphireferry.example/ferry/membership"
	"samphireferry.example/ferry/units"
)

// testSet has three regions of two failure domains; r3 is nearer to r1 than r2.
var testSet = &dynamic.Set{
	FailureDomains: []dynamic.FailureDomain{
		{Name: "d1", Region: "r1"}, {Name: "d2", Region: "r1"},
		{Name: "d3", Region: "r2"}, {Name: "d4", Region: "r2"},
		{Name: "d5", Region: "r3"}, {Name: "d6", Region: "r3"},
	},
	Links: []dynamic.Link{
		{Name: "l12", Between: [2]string{"r1", "r2"}, Latency: units.Duration(20 * time.Millisecond)},
		{Name: "l13", Between: [2]string{"r3", "r1"}, Latency: units.Duration(10 * time.Millisecond)},
	},
	ClientBlocks: []dynamic.ClientBlock{
		{Name: "wide", Prefix: "10.0.0.0/8", FailureDomains: []string{"d1"}},
		{Name: "narrow", Prefix: "10.1.0.0/16", FailureDomains: []string{"d3", "d1"}},
		{Name: "six", Prefix: "2001:db8::/32", FailureDomains: []string{"d6"}},
		{Name: "unknown", Prefix: "192.0.2.0/24", FailureDomains: []string{"d9"}},
	},
}

func testBlocks(t testing.TB) *Blocks {
	blocks, err := NewBlocks(testSet.ClientBlocks)
	assert.NilError(t, err)
	return blocks
}

// testPeers parses a list of instances such as "d1:a d1:b*", of which the first
// is this instance. A star marks a leaving instance, a question mark a suspect
// one, an exclamation mark a silent one, and %N sets the load in percent.
func testPeers(text string) *membership.Peers {
	regions := map[string]string{}
	for _, d := range testSet.FailureDomains {
		regions[d.Name] = d.Region
	}
	var all []*membership.Peer
	for _, field := range strings.Fields(text) {
		domain, name, _ := strings.Cut(field, ":")
		name, load, _ := strings.Cut(name, "%")
		p := &membership.Peer{FailureDomain: domain, Region: regions[domain]}
		p.Name = strings.TrimRight(name, "*?!")
		p.Address = p.Name
		p.Leaving = strings.HasSuffix(name, "*")
		switch {
		case strings.HasSuffix(name, "?"):
			p.Health = membership.Suspect
		case strings.HasSuffix(name, "!"):
			p.Health = membership.Silent
		}
		var percent uint32
		_, _ = fmt.Sscan(load, &percent)
		p.LoadPermille = percent * 10
		all = append(all, p)
	}
	return membership.NewPeers(*all[0], all[1:])
}

func TestOrder(t *testing.T) {
	const each = "d1:a d2:b d3:c d4:d d5:e d6:f"
	tests := []struct{ name, caller, peers, want string }{
		{"block, region, nearest region", "10.0.0.1", each, "a b {e f} {c d}"},
		{"longest prefix, two domains", "10.1.0.1", each, "c a d b {e f}"},
		{"IPv6", "2001:db8::1", each, "f e {a b} {c d}"},
		{"mapped IPv4", "::ffff:10.0.0.1", each, "a b {e f} {c d}"},
		{"no block", "172.16.0.1", each, "a b {e f} {c d}"},
		{"block of an unknown domain", "192.0.2.1", each, "a b {e f} {c d}"},
		{"domain without instances", "10.1.0.1", "d2:b d4:d", "d b"},
		{"leaving", "10.0.0.1", "d2:b d1:a* d1:g", "g b"},
		{"this instance leaving", "10.0.0.1", "d1:a* d2:b", "b"},
		{"suspect instances last", "10.0.0.1", "d1:a? d2:b d5:e", "b e a"},
		{"silent", "10.0.0.1", "d2:b d1:a!", "b"},
		{"instance without free capacity is still used", "10.0.0.1", "d1:a%100 d2:b%100", "a b"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d := NewDirectory(testBlocks(t), testSet, testPeers(test.peers))
			var got []string
			for _, row := range d.Order(netip.MustParseAddr(test.caller), "") {
				got = append(got, row.Address)
			}
			assertOrder(t, got, test.want)
		})
	}
}

// assertOrder compares the names with the wanted ones; names in braces may come
// in any order.
func assertOrder(t *testing.T, got []string, want string) {
	t.Helper()
	text := " " + strings.Join(got, " ")
	for _, group := range strings.Split(strings.NewReplacer("{", "|", "}", "|").Replace(want), "|") {
		names := strings.Fields(group)
		assert.Assert(t, len(got) >= len(names), "got%s, want %s", text, want)
		head := got[:len(names)]
		got = got[len(names):]
		for i, name := range names {
			anyOrder := strings.Contains(want, "{"+strings.TrimSpace(group)+"}")
			ok := head[i] == name || anyOrder && strings.Contains(strings.Join(head, " "), name)
			assert.Assert(t, ok, "got%s, want %s", text, want)
		}
	}
	assert.Equal(t, len(got), 0, "got%s, want %s", text, want)
}

// firstChoices returns how many of the callers get each instance first, and the
// first instance of each caller.
func firstChoices(t *testing.T, peers string, callers int) (map[string]int, []string) {
	d := NewDirectory(testBlocks(t), testSet, testPeers(peers))
	counts := map[string]int{}
	chosen := make([]string, callers)
	for i := range callers {
		address := netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)})
		chosen[i] = d.Order(address, "")[0].Address
		counts[chosen[i]]++
	}
	return counts, chosen
}

func TestCallersAreSpreadByWeight(t *testing.T) {
	const callers = 20_000
	tests := []struct {
		name, peers string
		want        map[string]float64
	}{
		{"equal", "d1:a d1:b d1:c d1:d d2:e", map[string]float64{"a": 0.25, "b": 0.25, "c": 0.25, "d": 0.25}},
		{"by free capacity", "d1:a%75 d1:b%25 d1:c d2:e", map[string]float64{"a": 0.125, "b": 0.375, "c": 0.5}},
		{"overloaded domain", "d1:a%100 d1:b%100 d2:e", map[string]float64{"a": 0.25, "b": 0.25, "e": 0.5}},
		{"all domains overloaded", "d1:a%100 d2:b%100", map[string]float64{"a": 1}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			counts, _ := firstChoices(t, test.peers, callers)
			assert.Equal(t, len(counts), len(test.want), "%v", counts)
			for name, want := range test.want {
				got := float64(counts[name]) / callers
				assert.Assert(t, got > want-0.02 && got < want+0.02, "%s: %.3f, want %.3f", name, got, want)
			}
		})
	}
}

// TestChangeMovesOnlyAffectedCallers expects that a change of one instance moves only callers from or to
// this instance.
func TestChangeMovesOnlyAffectedCallers(t *testing.T) {
	const callers = 5000
	tests := []struct{ name, before, after, changed string }{
		{"instance leaves", "d1:a d1:b d1:c d1:d", "d1:a d1:b d1:c* d1:d", "c"},
		{"instance joins", "d1:a d1:b d1:c", "d1:a d1:b d1:c d1:d", "d"},
		{"load of an instance rises", "d1:a d1:b d1:c", "d1:a d1:b d1:c%50", "c"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, before := firstChoices(t, test.before, callers)
			_, after := firstChoices(t, test.after, callers)
			moved := 0
			for i := range before {
				if before[i] != after[i] {
					moved++
					assert.Assert(t, before[i] == test.changed || after[i] == test.changed)
				}
			}
			assert.Assert(t, moved > 0)
		})
	}
}

func TestSpreadingKey(t *testing.T) {
	d := NewDirectory(testBlocks(t), testSet, testPeers("d1:a d1:b"))
	seen := map[string]bool{}
	for i := range 64 {
		seen[d.Order(netip.MustParseAddr("10.0.0.1"), fmt.Sprint(i))[0].Address] = true
	}
	assert.Equal(t, len(seen), 2)
}

func TestNumberOfInstancesIsLimited(t *testing.T) {
	text := ""
	for i := range 60 {
		text += fmt.Sprintf("d%d:n%d ", i%6+1, i)
	}
	rows := NewDirectory(testBlocks(t), testSet, testPeers(text)).Order(netip.MustParseAddr("10.0.0.1"), "")
	assert.Equal(t, len(rows), MaxInstances)
	assert.Equal(t, rows[MaxInstancesPerDomain-1].FailureDomain, "d1")
	assert.Equal(t, rows[MaxInstancesPerDomain].FailureDomain, "d2")
	assert.Equal(t, rows[0].TTL, TTL)
}

func TestInvalidBlocksAreRejected(t *testing.T) {
	for want, blocks := range map[string][]dynamic.ClientBlock{
		"client block b: \"10.0.0.0\" is not an IP prefix":        {{Name: "b", Prefix: "10.0.0.0"}},
		"client block c: another block has the prefix 10.0.0.0/8": {{Name: "b", Prefix: "10.0.0.0/8"}, {Name: "c", Prefix: "10.9.0.0/8"}},
	} {
		_, err := NewBlocks(blocks)
		assert.Error(t, err, want)
	}
	_, ok := (&Blocks{}).Lookup(netip.MustParseAddr("10.0.0.1"))
	assert.Assert(t, !ok)
}
