package demo

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"samphireferry.example/ferry/config/dynamic"
	"samphireferry.example/ferry/load"
	"samphireferry.example/ferry/moves"
	"samphireferry.example/ferry/platform"
	"samphireferry.example/ferry/shift"
	standinupstream "samphireferry.example/ferry/standin/upstream"
	"samphireferry.example/ferry/units"
)

// startLoad sends requests to all routes of the lookup service and to the
// archive until the test ends.
func startLoad(t *testing.T, s *System) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	plan := &load.Plan{Duration: units.Duration(load.MaxDuration)}
	for _, entry := range s.Entries {
		plan.Customers = append(plan.Customers, load.Customer{
			Name: entry.CallerAddress(), Key: KeyHighRate, Rate: 25, Entries: []string{"http://" + entry.CallerAddress()},
			Requests: []load.Request{{Path: "/dossiers/1", Weight: 4}, {Path: "/archive"}},
		}, load.Customer{
			Name: "public", Rate: 4, Entries: []string{"http://" + entry.CallerAddress()},
			Requests: []load.Request{{Path: "/notices/1"}},
		})
	}
	assert.NilError(t, plan.Check())
	done := make(chan struct{})
	go func() {
		load.Run(ctx, plan)
		close(done)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
}

// executed returns the number of requests that the upstreams with the prefix have
// run.
func executed(s *System, prefix string) int {
	total := 0
	for name, u := range s.Upstreams {
		if strings.HasPrefix(name, prefix) {
			total += int(u.Ledger().Snapshot().Executed)
		}
	}
	return total
}

// waitForShiftEnded waits until the shift with the key has ended under the given
// configuration version or a later one, and returns its record.
func waitForShiftEnded[O comparable](t *testing.T, s *System, key string, version uint64, timeout time.Duration) *shift.Record[O] {
	t.Helper()
	var last *shift.Record[O]
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		entry, err := s.Platform.Get(t.Context(), key)
		if err != nil {
			return poll.Continue("%v", err)
		}
		last, err = shift.Decode[O](entry.Value)
		if err != nil {
			return poll.Error(err)
		}
		if last.ConfigVersion < version || !last.Ended() {
			return poll.Continue("%+v", last)
		}
		return poll.Success()
	}, poll.WithTimeout(timeout), poll.WithDelay(100*time.Millisecond))
	return last
}

func TestRolloutRevertsBadVersionAndCompletesGoodOne(t *testing.T) {
	s := startSystem(t, Options{Entries: 6})
	for n := range s.domains {
		assert.NilError(t, s.AddUpstream(serviceSizes[0], secondVersion, n))
	}
	s.SetFaults("lookup-v2", standinupstream.Fault{Kind: standinupstream.FaultStatus, Status: 500, Every: 2})
	waitReady(t, s)
	startLoad(t, s)

	r := dynamic.Rollout{
		Name: "second", Service: serviceLookup, From: firstVersion, To: secondVersion,
		CanaryShare: canaryShare, Step: 0.4,
		StepInterval: units.Duration(time.Second),
		Deadline:     units.Duration(90 * time.Second),
	}
	s.Set.Versions = append(s.Set.Versions, dynamic.Version{Name: secondVersion, Service: serviceLookup})
	s.Set.Rollouts = []dynamic.Rollout{r}
	assert.NilError(t, s.Publish(t.Context()))
	before := executed(s, "lookup")
	bad := waitForShiftEnded[dynamic.Rollout](t, s, platform.PrefixRollouts+r.Name, 2, r.Deadline.Std())
	assert.Equal(t, bad.State, shift.TakenBack)
	assert.Equal(t, bad.Reason, shift.ReasonVerdict, bad.Detail)
	untilVerdict := executed(s, "lookup-v2")
	t.Logf("the bad version got %d of %d requests: %s", untilVerdict, executed(s, "lookup")-before, bad.Detail)
	assert.Assert(t, float64(untilVerdict) <= canaryShare*float64(executed(s, "lookup")-before))

	time.Sleep(2 * time.Second) // The verdict reaches every instance within seconds.
	afterVerdict := executed(s, "lookup-v2")
	time.Sleep(3 * time.Second)
	assert.Equal(t, executed(s, "lookup-v2"), afterVerdict, "no request after the verdict")

	s.SetFaults("lookup-v2")
	r.Deadline *= 2
	s.Set.Rollouts = []dynamic.Rollout{r}
	assert.NilError(t, s.Publish(t.Context()))
	good := waitForShiftEnded[dynamic.Rollout](t, s, platform.PrefixRollouts+r.Name, 3, r.Deadline.Std())
	assert.Equal(t, good.State, shift.Done, "%s %s", good.Reason, good.Detail)
	time.Sleep(2 * time.Second)
	afterCompletion := executed(s, "lookup-v1")
	time.Sleep(2 * time.Second)
	assert.Equal(t, executed(s, "lookup-v1"), afterCompletion, "all requests go to the new version")
}

// executedInDomain returns the number of requests that the upstreams of the service
// in the failure domain have run.
func executedInDomain(s *System, service, domain string) int {
	total := 0
	for _, u := range s.Set.Upstreams {
		if u.Service == service && u.FailureDomain == domain {
			total += int(s.Upstreams[u.Name].Ledger().Snapshot().Executed)
		}
	}
	return total
}

func TestMoveReachesItsCapAndNeverExceedsIt(t *testing.T) {
	s := startSystem(t, Options{Entries: 6})
	waitReady(t, s)
	m := dynamic.Move{
		Name: "archive-east", Service: serviceArchive, From: "east-1", To: "east-2",
		Cap: 0.5, Step: 0.25,
		StepInterval: units.Duration(time.Second),
		Deadline:     units.Duration(60 * time.Second),
	}
	assert.Assert(t, moves.MinDuration(m) <= m.Deadline.Std())
	s.Set.Moves = []dynamic.Move{m}
	assert.NilError(t, s.Publish(t.Context()))
	waitForVersion(t, s, 2)
	// Requests are sent one at a time, so that the cap is checked after each.
	url := "http://" + s.Entries[0].CallerAddress() + "/archive"
	total := 0
	request := func() (moved int) {
		status, body := get(t, url, KeyHighRate)
		assert.Equal(t, status, http.StatusOK, body)
		total++
		moved = executedInDomain(s, serviceArchive, m.To)
		assert.Assert(t, float64(moved) <= float64(m.Cap)*float64(total), "%d of %d", moved, total)
		return moved
	}
	var r *shift.Record[dynamic.Move]
	for end := time.Now().Add(m.Deadline.Std()); time.Now().Before(end) && (r == nil || !r.Ended()); {
		request()
		entry, err := s.Platform.Get(t.Context(), platform.PrefixMoves+m.Name)
		if err == nil {
			r, err = shift.Decode[dynamic.Move](entry.Value)
			assert.NilError(t, err)
		}
	}
	assert.Assert(t, r != nil)
	assert.Equal(t, r.State, shift.Done, "%s %s", r.Reason, r.Detail)
	before, first := total, request()
	for range 100 {
		request()
	}
	last := request()
	t.Logf("done after %d requests, of which %d moved; then %d of %d", before, first, last-first, total-before-1)
	assert.Assert(t, last-first >= 50, "the full share is in force")
}
