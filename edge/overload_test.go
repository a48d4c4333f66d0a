package edge

import (
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphireferry.example/ferry/config/dynamic"
	"samphireferry.example/ferry/errkind"
	"samphireferry.example/ferry/overload"
	"samphireferry.example/ferry/routing"
	"samphireferry.example/ferry/units"
)

// priorityTable returns a table with an urgent and a bulk route to the service "shared", another route to
// "single", and a customer with a priority of its own on request.
func priorityTable(t *testing.T, customerPriority *int) *routing.Table {
	t.Helper()
	table, err := routing.Compile(&dynamic.Config{Version: 1, Set: dynamic.Set{
		Services:  []dynamic.Service{{Name: "shared"}, {Name: "single"}},
		Customers: []dynamic.Customer{{Name: "acme"}, {Name: "zenith", Priority: customerPriority}},
		Routes: []dynamic.Route{
			{Name: "urgent", PathPrefix: "/urgent/", Service: "shared", Kind: dynamic.Idempotent, Timeout: units.Duration(2 * time.Second)},
			{Name: "bulk", PathPrefix: "/bulk/", Service: "shared", Kind: dynamic.Idempotent, Timeout: units.Duration(12 * time.Second), Priority: 3},
			{Name: "other", PathPrefix: "/other/", Service: "single", Kind: dynamic.Idempotent, Timeout: units.Duration(5 * time.Second), Priority: 1},
		},
	}})
	assert.NilError(t, err)
	return table
}

func TestPrioritiesOfServicesComeFromRoutesAndCustomers(t *testing.T) {
	assert.DeepEqual(t, prioritiesOf(priorityTable(t, nil)), map[string]overload.Priorities{
		"shared": {0: 2 * time.Second, 3: 12 * time.Second},
		"single": {1: 5 * time.Second},
	})
	priority := 2
	assert.DeepEqual(t, prioritiesOf(priorityTable(t, &priority)), map[string]overload.Priorities{
		"shared": {0: 2 * time.Second, 2: 2 * time.Second, 3: 12 * time.Second},
		"single": {1: 5 * time.Second, 2: 5 * time.Second},
	})
}

// TestLessUrgentRequestsAreRefusedWithATimeToReturn guards against requests of a limited priority going to
// the upstreams, against more urgent ones being refused with them, and against a limit for a
// service whose requests all have one priority.
func TestLessUrgentRequestsAreRefusedWithATimeToReturn(t *testing.T) {
	c := newTestControl(t)
	table := priorityTable(t, nil)
	c.deps.gate.Configure(prioritiesOf(table))
	room := func() overload.Room {
		return overload.Room{Known: true, Utilization: 1.7, ServiceTime: 300 * time.Millisecond}
	}
	now := time.Now()
	send := func(route string) error {
		x := &exchange{deps: c.deps, r: httptest.NewRequest("GET", "/", nil), started: now, route: table.Route(route)}
		x.service = x.route.Service
		x.caller.Deadline = x.route.Timeout
		return x.limitByPriority()
	}
	for range 300 {
		now = now.Add(100 * time.Millisecond)
		for _, route := range table.Routes {
			r := overload.Request{Service: route.Service.Name, Priority: route.Priority, Timeout: route.Timeout, Left: route.Timeout}
			c.deps.gate.Decide(now, r, room)
		}
	}
	refused := 0
	for range 100 {
		assert.NilError(t, send("urgent"))
		assert.NilError(t, send("other"))
		if err := send("bulk"); err != nil {
			refused++
			assert.Equal(t, errkind.Of(err), errkind.Overloaded)
			assert.Assert(t, errkind.RetryAfterOf(err) >= overload.MinRetryAfter)
		}
	}
	assert.Assert(t, refused >= 70, "%d of 100 are refused", refused)
	assert.Equal(t, c.deps.metrics.Counter("ferry_overload_refusals_total", "service", "shared", "reason", "priority").Get(), uint64(refused))
}
