package demo

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"samphireferry.example/ferry/config/dynamic"
	standinplatform "samphireferry.example/ferry/standin/platform"
	standinupstream "samphireferry.example/ferry/standin/upstream"
	"samphireferry.example/ferry/units"
)

// inForceTimeout limits each wait of the tests. It is not a guarantee of the system.
const inForceTimeout = 60 * time.Second

// sendReadsAtRate sends reads to the entry instances in turn for the duration. It
// returns the number that was served and the time from the first request to the
// last response.
func sendReadsAtRate(t *testing.T, s *System, key string, perSecond int, duration time.Duration) (served int64, window time.Duration) {
	t.Helper()
	var servedCount atomic.Int64
	var running sync.WaitGroup
	start := time.Now()
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	for i := 0; time.Since(start) < duration; i++ {
		<-ticker.C
		url := "http://" + s.Entries[i%len(s.Entries)].CallerAddress() + "/dossiers/1"
		running.Go(func() {
			status, _ := get(t, url, key)
			if status == http.StatusOK {
				servedCount.Add(1)
			}
		})
	}
	running.Wait()
	return servedCount.Load(), time.Since(start)
}

func TestCustomerStaysWithinRateAndBurstAcrossInstances(t *testing.T) {
	const rate, burst = 40, 20
	s := startSystem(t, Options{Change: func(set *dynamic.Set) {
		set.Customers[1].Rate, set.Customers[1].Burst = rate, burst
	}})
	waitReady(t, s)
	check := func(t *testing.T) {
		served, window := sendReadsAtRate(t, s, KeyLowRate, 5*rate, 3*time.Second)
		limit := burst + rate*window.Seconds()
		t.Logf("served %d of at most %.0f in %s", served, limit, window)
		assert.Assert(t, float64(served) <= limit)
		assert.Assert(t, served > 0)
	}
	t.Run("healthy", check)
	s.Platform.SetFaults(standinplatform.Faults{Outage: standinplatform.OutageHang})
	t.Run("platform hangs", check)
	s.Network.SetPartitioned("east-1", "east-2", true)
	s.Network.SetPartitioned("east-1", "north-1", true)
	s.Network.SetPartitioned("east-1", "west-1", true)
	t.Run("links partitioned", check)
	s.Platform.SetFaults(standinplatform.Faults{})
	t.Run("platform available again", check)
}

func TestWithdrawnKeyIsRejectedByEveryInstance(t *testing.T) {
	s := startSystem(t, Options{})
	waitReady(t, s)
	s.Set.Keys[0].Withdrawn = true
	start := time.Now()
	assert.NilError(t, s.Publish(t.Context()))
	for _, entry := range s.Entries {
		url := "http://" + entry.CallerAddress() + "/dossiers/1"
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			status, body := get(t, url, KeyHighRate)
			if status == http.StatusUnauthorized && strings.Contains(body, "key_withdrawn") {
				return poll.Success()
			}
			return poll.Continue("%d %s", status, body)
		}, poll.WithTimeout(inForceTimeout), poll.WithDelay(20*time.Millisecond))
	}
	t.Logf("in force everywhere after %s", time.Since(start))
}

func TestDomainThatIsCutOffGoesOnServing(t *testing.T) {
	s := startSystem(t, Options{Change: func(set *dynamic.Set) {
		set.Routes = append(set.Routes, dynamic.Route{
			Name: "strict", Service: serviceLookup, PathPrefix: "/strict", Kind: dynamic.Idempotent,
			WhenCutOff: dynamic.CutOffRefuse, CutOffAfter: units.Duration(2 * time.Second),
		})
	}})
	waitReady(t, s)
	cutOff := s.Entries[0]
	for _, location := range []string{"east-2", "north-1", "north-2", "west-1", "west-2", LocationPlatform} {
		s.Network.SetPartitioned("east-1", location, true)
	}
	strict := "http://" + cutOff.CallerAddress() + "/strict/1"
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		status, body := get(t, strict, KeyHighRate)
		if status == http.StatusServiceUnavailable && strings.Contains(body, "key_unverified") {
			return poll.Success()
		}
		return poll.Continue("%d %s", status, body)
	}, poll.WithTimeout(inForceTimeout))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for i := range 20 {
			status, body := get(t, fmt.Sprintf("http://%s/dossiers/%d", cutOff.CallerAddress(), i), KeyHighRate)
			if status != http.StatusOK {
				return poll.Continue("read %d: %d %s", i, status, body)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(inForceTimeout))
	filed := sendFiling(cutOff.CallerAddress(), cutOff.Home()+".in-the-cut")
	assert.Equal(t, filed, filingResult{status: http.StatusOK, outcome: "ran"})
	for _, location := range []string{"east-2", "north-1", "north-2", "west-1", "west-2", LocationPlatform} {
		s.Network.SetPartitioned("east-1", location, false)
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		status, body := get(t, strict, KeyHighRate)
		if status == http.StatusOK {
			return poll.Success()
		}
		return poll.Continue("%d %s", status, body)
	}, poll.WithTimeout(inForceTimeout))
}

func TestPlannedStopInterruptsNoRequest(t *testing.T) {
	s := startSystem(t, Options{})
	waitReady(t, s)
	leaving := s.Entries[0]
	streams := make(chan string, 8)
	for i := range cap(streams) {
		url := fmt.Sprintf("http://%s/dossiers/%d?bytes=4000&stream_ms=1500", leaving.CallerAddress(), i)
		go func() {
			status, body := get(t, url, KeyHighRate)
			streams <- fmt.Sprint(status, " ", len(body))
		}()
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		inUse := 0
		for _, u := range s.Upstreams {
			inUse += u.InUse()
		}
		if inUse == cap(streams) {
			return poll.Success()
		}
		return poll.Continue("%d streams run", inUse)
	}, poll.WithDelay(5*time.Millisecond))
	s.Entries = s.Entries[1:]
	start := time.Now()
	assert.NilError(t, leaving.Cleanup(t.Context()))
	t.Logf("stopped after %s", time.Since(start))
	for range cap(streams) {
		assert.Equal(t, <-streams, "200 4000")
	}
	status, _ := get(t, "http://"+leaving.CallerAddress()+"/dossiers/1", KeyHighRate)
	assert.Equal(t, status, 0)
}

func TestDrainedUpstreamGetsNoNewRequests(t *testing.T) {
	s := startSystem(t, Options{})
	waitReady(t, s)
	const drained = "lookup-v1-01"
	s.Set.Drains = append(s.Set.Drains, dynamic.Drain{Name: "maintenance", Upstream: drained})
	assert.NilError(t, s.Publish(t.Context()))
	waitForVersion(t, s, 2)
	before := s.Upstreams[drained].Ledger().Snapshot().Executed
	for i := range 200 {
		status, body := get(t, "http://"+s.Entries[i%len(s.Entries)].CallerAddress()+"/dossiers/1", KeyHighRate)
		assert.Equal(t, status, http.StatusOK, body)
	}
	assert.Equal(t, s.Upstreams[drained].Ledger().Snapshot().Executed, before)
}

// waitForVersion waits until the configuration version is in force everywhere.
func waitForVersion(t *testing.T, s *System, version uint64) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for i, entry := range s.Entries {
			if got := entry.ConfigVersion(); got < version {
				return poll.Continue("entry %d has version %d", i, got)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(inForceTimeout), poll.WithDelay(20*time.Millisecond))
}

func TestCallersGetCompleteResponseToTheirRequest(t *testing.T) {
	s := startSystem(t, Options{})
	waitReady(t, s)
	for _, u := range s.Upstreams {
		u.SetFaults(standinupstream.Faults{Requests: []standinupstream.Fault{
			{Kind: standinupstream.FaultCrossed, Every: 7},
			{Kind: standinupstream.FaultTruncate, Every: 11},
			{Kind: standinupstream.FaultNoEcho, Every: 13},
			{Kind: standinupstream.FaultDropAfter, Every: 17},
		}})
	}
	var running sync.WaitGroup
	var complete, refused, interrupted atomic.Int64
	for worker := range 8 {
		running.Go(func() {
			for i := range 50 {
				path, query := fmt.Sprintf("/dossiers/%d-%d", worker, i), "bytes=3000"
				status, body := get(t, fmt.Sprintf("http://%s%s?%s", s.Entries[(worker+i)%len(s.Entries)].CallerAddress(), path, query), KeyHighRate)
				switch {
				case status == 0:
					interrupted.Add(1)
				case status != http.StatusOK:
					refused.Add(1)
				case body == string(standinupstream.Body(path, query, 3000)):
					complete.Add(1)
				default:
					t.Errorf("%s: mismatched or partial response of %d bytes", path, len(body))
				}
			}
		})
	}
	running.Wait()
	t.Logf("complete %d, refused %d, interrupted %d", complete.Load(), refused.Load(), interrupted.Load())
	assert.Assert(t, complete.Load() > 0)
}

func TestKeysAreNotForwardedToUpstreams(t *testing.T) {
	s := startSystem(t, Options{})
	waitReady(t, s)
	r, err := http.NewRequest(http.MethodGet, "http://"+s.Entries[0].CallerAddress()+"/dossiers/1?a=1&k="+KeyHighRate, nil)
	assert.NilError(t, err)
	r.Header.Add("Authorization", "Bearer "+KeyHighRate)
	r.Header.Add("Authorization", "bearer "+KeyHighRate)
	r.Header.Set("Cookie", "session="+KeyHighRate)
	r.Header.Set("Connection", "X-Own")
	r.Header.Set("X-Own", KeyHighRate)
	response, err := http.DefaultClient.Do(r)
	assert.NilError(t, err)
	_, _ = io.Copy(io.Discard, response.Body)
	response.Body.Close()
	assert.Equal(t, response.StatusCode, http.StatusOK)
	for name, u := range s.Upstreams {
		for _, seen := range u.Ledger().Snapshot().Seen {
			assert.Assert(t, !strings.Contains(fmt.Sprint(seen), KeyHighRate), "%s received the key: %v", name, seen)
		}
	}
}

// TestNewInstanceServesOnBorrowedTokensDuringOutage starts an instance while the
// store is unavailable, so that it is in no share table and cannot be added to one.
func TestNewInstanceServesOnBorrowedTokensDuringOutage(t *testing.T) {
	s := startSystem(t, Options{})
	waitReady(t, s)
	s.Platform.SetFaults(standinplatform.Faults{Outage: standinplatform.OutageRefuse})
	settings, err := s.entrySettings(len(s.Entries), s.domains[0])
	assert.NilError(t, err)
	settings.Seeds = []string{s.settings[0].RPCAdvertise, s.settings[1].RPCAdvertise}
	instance, err := s.startEntry(settings)
	assert.NilError(t, err)
	s.Entries = append(s.Entries, instance)
	waitReady(t, s)
}
