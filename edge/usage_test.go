package edge

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"gotest.tools/v3/assert"

	"samphireferry.example/ferry/config/static"
	"samphireferry.example/ferry/platform/headers"
	"samphireferry.example/ferry/rpc/entrypb"
	"samphireferry.example/ferry/standin/usageapi"
	"samphireferry.example/ferry/telemetry"

	"go.uber.org/zap"
)

// startUsageAPI starts a stand-in for the usage API and returns it with its address.
func startUsageAPI(t *testing.T) (*usageapi.API, string) {
	t.Helper()
	api := usageapi.New(usageapi.Options{FenceCheck: true, TTL: time.Second})
	server := httptest.NewServer(api)
	t.Cleanup(server.Close)
	return api, server.Listener.Addr().String()
}

// startReporting starts an instance that reports usage to the API. Its failure domain is that of
// s.settings, or west-1.
func (s *system) startReporting(name, api string, west bool) *instance {
	s.t.Helper()
	settings := s.settings(name)
	if west {
		settings.FailureDomain, settings.Region = "west-1", "west"
	}
	settings.EdgeDuties = static.EdgeDuties{
		DutyAPI: api, Duties: []string{static.DutyUsage}, DutyRate: 50, DutyLease: time.Second,
		FenceCheck: true, UsageWindow: time.Second, UsageLate: 10 * time.Second, UsageOff: 0.05,
	}
	i, err := New(settings, zap.NewNop(), telemetry.New())
	assert.NilError(s.t, err)
	assert.NilError(s.t, i.Start())
	return &instance{Instance: i, t: s.t}
}

// reported returns the sum of all accepted reports for the customer, and the holder and token of
// the newest.
func reported(api *usageapi.API) (sum uint64, holder string, token int64) {
	newest := int64(-1)
	for window, r := range api.Accepted() {
		sum += r.Counts["acme"]
		if window > newest {
			newest, holder, token = window, r.Holder, r.Token
		}
	}
	return sum, holder, token
}

// Each attempt that an upstream began counts once, whichever instance sent it; a rejected one
// does not count.
func TestRequestsAreReportedOnce(t *testing.T) {
	s := newSystem(t)
	api, address := startUsageAPI(t)
	b := newFakeUpstream(t, "i-1")
	s.configure(1, "k1")
	s.register(b, "v1", "ready")
	var instances []*instance
	for _, name := range []string{"e1", "e2", "e3"} {
		instances = append(instances, s.startReporting(name, address, name == "e3"))
	}
	defer instances[0].stop()
	defer instances[1].stop()
	for _, i := range instances {
		i.waitReady(1)
	}
	eventually(t, "an instance reports", func() bool { return len(api.Accepted()) > 0 })
	for n := range 30 {
		assert.Equal(t, instances[n%3].send(http.MethodGet, "/read/1", "k1").status, http.StatusOK)
	}
	reject := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(headers.NotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	b.handler.Store(&reject)
	assert.Equal(t, instances[0].send(http.MethodGet, "/read/1", "k1").status, http.StatusServiceUnavailable)
	// The rejected attempt is in the window after those that ran, or before the one of the next.
	ran := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	b.handler.Store(&ran)
	eventually(t, "the upstream gets requests again", func() bool {
		return instances[1].send(http.MethodGet, "/read/1", "k1").status == http.StatusOK
	})
	// An instance that leaves passes on its last counts, and the duty if it has it.
	assert.Equal(t, instances[2].send(http.MethodGet, "/read/1", "k1").status, http.StatusOK)
	instances[2].stop()
	eventually(t, "all attempts that ran are reported", func() bool { sum, _, _ := reported(api); return sum >= 32 })
	sum, _, _ := reported(api)
	assert.Equal(t, sum, uint64(32))
	assert.Equal(t, len(api.Violations()), 0, "%v", api.Violations())
}

// When the holder is killed, another instance reports with a higher token, also what the killed
// one had counted and passed on.
func TestAnotherInstanceReportsWhenTheHolderIsKilled(t *testing.T) {
	s := newSystem(t)
	api, address := startUsageAPI(t)
	b := newFakeUpstream(t, "i-1")
	s.configure(1, "k1")
	s.register(b, "v1", "ready")
	instances := map[string]*instance{}
	for _, name := range []string{"e1", "e2", "e3"} {
		instances[name] = s.startReporting(name, address, false)
		instances[name].waitReady(1)
	}
	eventually(t, "an instance reports", func() bool { return len(api.Accepted()) > 0 })
	_, killed, token := reported(api)
	for range 5 {
		assert.Equal(t, instances[killed].send(http.MethodGet, "/read/1", "k1").status, http.StatusOK)
	}
	eventually(t, "another instance has the counts of the holder", func() bool {
		for name, i := range instances {
			if name != killed && i.backedUp() == 5 {
				return true
			}
		}
		return false
	})
	instances[killed].kill()
	eventually(t, "another instance reports", func() bool { _, holder, next := reported(api); return holder != killed && next > token })
	for name, i := range instances {
		if name != killed {
			defer i.stop()
			assert.Equal(t, i.send(http.MethodGet, "/read/1", "k1").status, http.StatusOK)
		}
	}
	eventually(t, "the successor reports requests", func() bool { sum, _, _ := reported(api); return sum >= 5+2 })
	sum, _, _ := reported(api)
	assert.Equal(t, sum, uint64(5+2))
	assert.Equal(t, len(api.Violations()), 0, "%v", api.Violations())
}

// backedUp returns the requests that the instance keeps for the leader of its failure domain.
func (i *instance) backedUp() uint64 {
	sum := make(chan uint64)
	i.control.post(inspect(func(c *control) {
		n := uint64(0)
		for _, r := range c.usage.backup.Reports() {
			for _, counts := range r.Windows {
				n += counts.Customers["acme"]
			}
		}
		sum <- n
	}))
	return <-sum
}

// kill ends the instance without a word to anyone.
func (i *instance) kill() {
	i.cancel()
	i.rpc.Close()
	for _, server := range i.servers {
		_ = server.Close()
	}
}

// A deployment without the API must neither count nor answer messages with counts.
func TestDeploymentsWithoutTheAPIHaveNoUsageReports(t *testing.T) {
	s := newSystem(t)
	i := s.start("e1")
	defer i.stop()
	assert.Assert(t, i.deps.meter == nil && i.control.usage == nil)
	client, err := i.deps.peers.UsageClient(i.deps.settings.RPCListen)
	assert.NilError(t, err)
	_, err = client.ReportUsage(t.Context(), &entrypb.UsageReport{})
	assert.Equal(t, status.Code(err), codes.Unimplemented)
}
