package edge

import (
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"samphireferry.example/ferry/platform"
	"samphireferry.example/ferry/platform/records"
	standin "samphireferry.example/ferry/standin/records"
)

// limitedConfig is a configuration with a customer who has a rate of 40 requests per second.
func limitedConfig(t *testing.T) platform.Entry {
	t.Helper()
	value, err := standin.Configuration{
		Version: 1, Services: []string{"lookup"},
		Customers: []standin.Customer{{Name: "acme", Keys: []string{"k1"}, Rate: 40, Burst: 40}},
	}.Value()
	assert.NilError(t, err)
	return platform.Entry{Key: records.KeyConfig, Revision: 1, Value: value}
}

func registrations(t *testing.T, count int) []platform.Entry {
	t.Helper()
	var entries []platform.Entry
	for n := range count {
		name := fmt.Sprint("p", n)
		value, err := records.EncodeInstance(records.Instance{Name: name, Incarnation: name + "-1", Address: fmt.Sprintf("127.0.0.3:%d", n+1), RPCAddress: fmt.Sprintf("127.0.0.2:%d", n+1), FailureDomain: "east-1", Region: "east"})
		assert.NilError(t, err)
		entries = append(entries, platform.Entry{Key: records.PrefixInstances + name, Revision: platform.Revision(10 + n), Value: value})
	}
	return entries
}

// allocated returns the rate that this instance may use of the customer's, as a fraction.
func allocated(c *control) float64 {
	a := c.rates.Allocations()[0]
	return a.Rate / a.Customer.Rate
}

// Guards against instances that start together and admit the whole rate of a customer each, since
// each has read the store before the others registered (QUOTA).
func TestAnInstanceThatKnowsNoPeerDoesNotTakeTheWholeRate(t *testing.T) {
	c := newTestControl(t)
	now := c.startedAt
	recordsRead{entries: []platform.Entry{limitedConfig(t)}, revision: 1, full: true, readAt: now}.apply(c, now)
	assert.Equal(t, allocated(c), 0.5, "before the registrations were read again")
	fleetRead{entries: registrations(t, 3), revision: 20}.apply(c, now.Add(50*time.Millisecond))
	for _, after := range []time.Duration{50 * time.Millisecond, fleetReadSettle + 300*time.Millisecond} {
		c.dividedAt = time.Time{}
		c.divideRates(now.Add(after))
		assert.Equal(t, allocated(c), 0.25, "with three peers, after %s", after)
	}
}

// Guards against wrongful refusals at an instance that is alone: it uses the whole rate as soon as
// it knows that, and without a store soon after its start.
func TestAnInstanceAloneSoonTakesTheWholeRate(t *testing.T) {
	for name, read := range map[string]bool{"registrations read": true, "store away": false} {
		t.Run(name, func(t *testing.T) {
			c := newTestControl(t)
			now := c.startedAt
			recordsRead{entries: []platform.Entry{limitedConfig(t)}, revision: 1, full: true, readAt: now}.apply(c, now)
			end := maxFleetAssumption
			if read {
				fleetRead{revision: 20}.apply(c, now)
				end = fleetReadSettle
			}
			c.divideRates(now.Add(end))
			assert.Equal(t, allocated(c), 1.0)
		})
	}
}

// Guards against instances that register at the same moment and learn of each other only by the
// watch of a leader, a second later; and against a read at each start in a fleet that runs.
func TestRegistrationsAreReadOnceMoreWhereFewAreKnown(t *testing.T) {
	for known, reads := range map[int]int{0: 1, 3: 1, 4: 0} {
		t.Run(fmt.Sprint(known), func(t *testing.T) {
			s := newSystem(t)
			r, err := newRegistrar(s.store, zap.NewNop(), records.Instance{Name: "e1", FailureDomain: "east-1", Region: "east"})
			assert.NilError(t, err)
			r.assumedFleet = 4
			var read []event
			r.post = func(e event) { read = append(read, e) }
			r.noteEntries(registrations(t, known))
			assert.NilError(t, r.step(t.Context()))
			r.readFleet(t.Context())
			r.readFleet(t.Context())
			assert.Equal(t, len(read), reads)
			if reads > 0 {
				assert.Equal(t, len(read[0].(fleetRead).entries), 1, "the own registration")
			}
		})
	}
}
