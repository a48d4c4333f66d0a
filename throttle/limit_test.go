package throttle

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// at returns the time that is the given number of seconds after start.
func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

func TestResponsesThatOvertakeEachOtherLiftNoLimit(t *testing.T) {
	type response struct {
		sent, arrived float64
		limited       bool
		rate          float64
	}
	for name, test := range map[string]struct {
		responses []response
		want      Limit
	}{
		"no statement":                    {[]response{{1, 2, false, 0}}, Limit{}},
		"a statement":                     {[]response{{1, 2, true, 3}}, Limit{Limited: true, Rate: 3}},
		"a lower rate":                    {[]response{{1, 2, true, 3}, {1, 2.1, true, 1}}, Limit{Limited: true, Rate: 1}},
		"a higher rate":                   {[]response{{1, 2, true, 3}, {2.1, 3, true, 5}}, Limit{Limited: true, Rate: 5}},
		"a higher rate that is overtaken": {[]response{{1, 2, true, 3}, {1.5, 3, true, 5}}, Limit{Limited: true, Rate: 3}},
		"the end":                         {[]response{{1, 2, true, 3}, {2.1, 3, false, 0}}, Limit{}},
		"an end that is overtaken":        {[]response{{1, 2, true, 3}, {1.5, 3, false, 0}}, Limit{Limited: true, Rate: 3}},
	} {
		t.Run(name, func(t *testing.T) {
			throttle := New()
			for _, r := range test.responses {
				throttle.Observe(at(r.arrived), at(r.sent), "u", r.limited, r.rate)
			}
			got := throttle.Limits()["u"]
			got.StatedAt = time.Time{}
			assert.DeepEqual(t, got, test.want)
		})
	}
}

func TestALimitIsInForceUntilItEnds(t *testing.T) {
	throttle := New()
	all := func(string) bool { return true }
	assert.Assert(t, throttle.Observe(at(0), at(0), "u", true, 3))
	assert.Assert(t, !throttle.Observe(at(20), at(19), "u", true, 3))
	throttle.Tick(at(3600), all)
	assert.Assert(t, throttle.Limited("u"), "no response since")
	throttle.Tick(at(3600), func(string) bool { return false })
	assert.Assert(t, !throttle.Limited("u"), "the upstream is gone")
}

func TestTheEndOfALimitOutlastsStatementsOnTheirWay(t *testing.T) {
	throttle := New()
	all := func(string) bool { return true }
	throttle.Observe(at(0), at(0), "u", true, 3)
	throttle.Observe(at(10), at(9), "u", false, 0)
	throttle.Tick(at(38), all)
	assert.Assert(t, !throttle.Merge("u", Limit{Limited: true, Rate: 3, StatedAt: at(5)}), "stated before the end")
	throttle.Tick(at(40), all)
	assert.Equal(t, len(throttle.Limits()), 0)
}

// Guards against a question about an upstream that refills or takes its permits.
func TestWouldAdmitChangesNothing(t *testing.T) {
	th := New()
	assert.Assert(t, th.WouldAdmit(at(0), "u"))
	th.Observe(at(0), at(0), "u", true, 10)
	th.Assign(at(0), func(string) Allocator { return Allocator{Self: true, Fraction: 1} })
	before := *th.upstreams["u"]
	assert.Assert(t, !th.WouldAdmit(at(0), "u"))
	for range 100 {
		assert.Assert(t, th.WouldAdmit(at(0.5), "u"))
	}
	assert.Equal(t, *th.upstreams["u"], before)
	assert.Assert(t, th.Admits(at(0.5), "u"))
}
