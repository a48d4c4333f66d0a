package edge

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"

	"samphireferry.example/ferry/config/dynamic"
	"samphireferry.example/ferry/errkind"
	"samphireferry.example/ferry/overload"
	"samphireferry.example/ferry/placement"
	"samphireferry.example/ferry/registry"
	"samphireferry.example/ferry/routing"
	"samphireferry.example/ferry/rpc/entrypb"
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

// TestARefusedRequestMovesToAServiceWithRoom guards against a request being refused while another service of
// its split is idle, against a move to one that has no room, and against a move where all
// services have one priority, whose splits keep to their weights.
func TestARefusedRequestMovesToAServiceWithRoom(t *testing.T) {
	for _, test := range []struct {
		name string
		// requests are those at each upstream of the other service.
		requests uint32
		// bulkPriority is the priority of another route to that service.
		bulkPriority int
		moves        bool
	}{
		{"room", 1, 3, true},
		{"no room", 4, 3, false},
		{"one priority", 1, 0, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newTestControl(t)
			table, err := routing.Compile(&dynamic.Config{Version: 1, Set: dynamic.Set{
				Services: []dynamic.Service{{Name: "full"}, {Name: "other"}},
				Routes: []dynamic.Route{
					{Name: "urgent", PathPrefix: "/urgent/", Kind: dynamic.Idempotent, Split: []dynamic.WeightedService{{Service: "full", Weight: 1}, {Service: "other", Weight: 0}}},
					{Name: "bulk", PathPrefix: "/bulk/", Service: "other", Kind: dynamic.Idempotent, Priority: test.bulkPriority},
				},
			}})
			assert.NilError(t, err)
			c.table = table
			c.updateSplits()
			c.deps.gate.Configure(prioritiesOf(table))
			c.deps.pool.Configure(placement.Settings{Regions: map[string]string{"east-1": "east"}})
			c.deps.pool.Update([]*registry.Upstream{{Entry: registry.Entry{ID: "u", Service: "other", FailureDomain: "east-1", Slots: 4}}}, nil)
			c.receiveState(time.Now(), &entrypb.State{LoadReports: &entrypb.LoadReports{
				Upstreams: []uint64{xxhash.Sum64String("u")}, Requests: []uint32{test.requests}, AgeMs: []uint32{0},
			}})
			x := &exchange{deps: c.deps, r: httptest.NewRequest("GET", "/", nil), started: time.Now(), route: table.Route("urgent")}
			x.view = &view{table: table, splits: c.splits}
			x.chooseService()
			x.setDeadline()
			assert.Equal(t, x.service.Name, "full")
			assert.Equal(t, x.moveToRoom(), test.moves)
			assert.Equal(t, x.service.Name, map[bool]string{true: "other", false: "full"}[test.moves])
			assert.Assert(t, !x.moveToRoom(), "moved twice")
		})
	}
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
