package demo

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"samphireferry.example/ferry/config/dynamic"
	"samphireferry.example/ferry/operator"
	"samphireferry.example/ferry/operator/ctl"
	"samphireferry.example/ferry/shift"
	"samphireferry.example/ferry/units"
)

// ferryctl runs a ferryctl command against the system and returns the exit code and
// all output.
func ferryctl(t *testing.T, s *System, args ...string) (int, string) {
	t.Helper()
	t.Setenv("FERRYCTL_PLATFORM", s.PlatformURL)
	var output bytes.Buffer
	code := ctl.Main(t.Context(), "ferryctl", args, &output, &output)
	return code, output.String()
}

// mustRun runs a ferryctl command that must succeed and returns its output.
func mustRun(t *testing.T, s *System, args ...string) string {
	t.Helper()
	code, output := ferryctl(t, s, args...)
	assert.Equal(t, code, ctl.ExitDone, "%v: %s", args, output)
	return output
}

// fetchReport returns the report of the status command, whose exit code it ignores.
func fetchReport(t *testing.T, s *System, args ...string) operator.Report {
	t.Helper()
	_, output := ferryctl(t, s, append([]string{"status", "-json"}, args...)...)
	var r operator.Report
	err := json.NewDecoder(strings.NewReader(output)).Decode(&r)
	assert.NilError(t, err, output)
	return r
}

func TestStatusReportsCutOffDomain(t *testing.T) {
	s := startSystem(t, Options{})
	waitReady(t, s)
	mustRun(t, s, "status", "-version", "1", "-wait", "60s", "-timeout", "90s")
	for _, location := range []string{"east-2", "north-1", "north-2", "west-1", "west-2", LocationPlatform} {
		s.Network.SetPartitioned("east-1", location, true)
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, i := range fetchReport(t, s).Instances {
			if i.CutOff != (i.FailureDomain == "east-1") {
				return poll.Continue("%+v", i)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(inForceTimeout))
	mustRun(t, s, "key", "withdraw", "laurier-1")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		r := fetchReport(t, s)
		behind := []string{}
		for _, i := range r.Instances {
			if i.State != operator.StateInForce {
				behind = append(behind, i.FailureDomain+" "+string(i.State))
			}
		}
		cutOff := slices.Equal(slices.Compact(behind), []string{"east-1 cut_off"})
		if cutOff && !r.InForce && len(r.WithdrawnKeys) == 1 && slices.Equal(r.WithdrawnKeys[0].NotYet, []string{"entry-01", "entry-07"}) {
			return poll.Success()
		}
		return poll.Continue("%v %+v", behind, r.WithdrawnKeys)
	}, poll.WithTimeout(inForceTimeout))
	for _, location := range []string{"east-2", "north-1", "north-2", "west-1", "west-2", LocationPlatform} {
		s.Network.SetPartitioned("east-1", location, false)
	}
	mustRun(t, s, "status", "-version", "2", "-wait", "60s", "-timeout", "90s")
	for _, entry := range s.Entries {
		status, body := get(t, "http://"+entry.CallerAddress()+"/dossiers/1", KeyHighRate)
		assert.Equal(t, status, http.StatusUnauthorized, body)
	}
}

// objectFile writes the objects to a temporary file and returns its path.
func objectFile(t *testing.T, set dynamic.Set) string {
	t.Helper()
	data, err := json.MarshalIndent(set, "", "  ")
	assert.NilError(t, err)
	path := filepath.Join(t.TempDir(), "objects.hujson")
	assert.NilError(t, os.WriteFile(path, data, 0o600))
	return path
}

// waitInForce waits until the published version is in force everywhere, and returns
// the output of the status command.
func waitInForce(t *testing.T, s *System) string {
	t.Helper()
	return mustRun(t, s, "status", "-wait", "60s", "-timeout", "90s")
}

// waitForStatus waits until every entry instance responds to reads with the status.
func waitForStatus(t *testing.T, s *System, key string, want int) {
	t.Helper()
	for _, entry := range s.Entries {
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			status, body := get(t, "http://"+entry.CallerAddress()+"/dossiers/1", key)
			if status == want {
				return poll.Success()
			}
			return poll.Continue("%d %s", status, body)
		}, poll.WithTimeout(inForceTimeout))
	}
}

// waitForShift waits until a move or roll-out has the state on all instances, and
// returns its report.
func waitForShift(t *testing.T, s *System, shifts func(operator.Report) []operator.ShiftReport, state shift.State) operator.ShiftReport {
	t.Helper()
	var last operator.ShiftReport
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, last = range shifts(fetchReport(t, s)) {
			if last.State == string(state) && len(last.Behind) == 0 {
				return poll.Success()
			}
		}
		return poll.Continue("%+v", last)
	}, poll.WithTimeout(inForceTimeout))
	return last
}

func moveReports(r operator.Report) []operator.ShiftReport    { return r.Moves }
func rolloutReports(r operator.Report) []operator.ShiftReport { return r.Rollouts }

// readEverywhere sends 8 reads to each entry instance, which must all be served.
func readEverywhere(t *testing.T, s *System) {
	t.Helper()
	for i := range 8 * len(s.Entries) {
		url := "http://" + s.Entries[i%len(s.Entries)].CallerAddress() + "/dossiers/1"
		status, body := get(t, url, KeyHighRate)
		assert.Equal(t, status, http.StatusOK, body)
	}
}

func TestOperatorCommands(t *testing.T) {
	s := startSystem(t, Options{Entries: 6})
	waitReady(t, s)
	waitInForce(t, s)

	t.Run("publish", func(t *testing.T) {
		next, err := s.Set.Clone()
		assert.NilError(t, err)
		next.Customers[1].Burst = 6
		file := objectFile(t, *next)
		assert.Assert(t, strings.Contains(mustRun(t, s, "check", file), "no fault"))
		assert.Assert(t, strings.Contains(mustRun(t, s, "diff", file), "changed customers petite: burst"))
		assert.Assert(t, strings.Contains(mustRun(t, s, "publish", file), "published version 2"))
		output := mustRun(t, s, "status", "--version", "2", "--wait", "60s", "--timeout", "90s")
		assert.Assert(t, strings.Contains(output, "version 2 is in force everywhere"), output)
		assert.Assert(t, strings.Contains(mustRun(t, s, "diff", file), "no change"))
		assert.Assert(t, strings.Contains(mustRun(t, s, "get", "customers", "petite"), `"burst": 6`))
		next.Customers[1].Rate = 0
		code, output := ferryctl(t, s, "publish", objectFile(t, *next))
		assert.Equal(t, code, ctl.ExitFailed, output)
		assert.Equal(t, fetchReport(t, s).Version, uint64(2))
	})

	t.Run("drain", func(t *testing.T) {
		const drained = "lookup-v1-01"
		mustRun(t, s, "drain", drained)
		waitInForce(t, s)
		before := s.Upstreams[drained].Ledger().Snapshot().Executed
		readEverywhere(t, s)
		assert.Equal(t, s.Upstreams[drained].Ledger().Snapshot().Executed, before)
		mustRun(t, s, "drain", "-end", drained)
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			readEverywhere(t, s)
			if s.Upstreams[drained].Ledger().Snapshot().Executed > before {
				return poll.Success()
			}
			return poll.Continue("%s has no request", drained)
		}, poll.WithTimeout(inForceTimeout))
	})

	t.Run("move", func(t *testing.T) {
		mustRun(t, s, "move", "-service", serviceLookup, "-from", "east-1", "-to", "east-2", "-cap", "40%",
			"-step", "20%", "-step-interval", "1s", "-deadline", "60s", "eastward")
		end := waitForShift(t, s, moveReports, shift.Done)
		assert.Equal(t, end.Share, 0.4)
		mustRun(t, s, "move", "-remove", "eastward")
		end = waitForShift(t, s, moveReports, shift.TakenBack)
		assert.Equal(t, end.Reason, string(shift.ReasonRemoved))
		assert.Equal(t, end.Share, 0.0)
	})

	t.Run("keys", func(t *testing.T) {
		created := mustRun(t, s, "key", "create", "-customer", "laurier", "-name", "laurier-2")
		key, _, _ := strings.Cut(created, "\n")
		waitForStatus(t, s, key, http.StatusOK)
		mustRun(t, s, "key", "withdraw", "laurier-2")
		waitInForce(t, s)
		waitForStatus(t, s, key, http.StatusUnauthorized)
		keys := fetchReport(t, s).WithdrawnKeys
		assert.Equal(t, len(keys), 1)
		assert.Equal(t, len(keys[0].NotYet), 0, "%v", keys)
		waitForStatus(t, s, KeyHighRate, http.StatusOK)
	})

	t.Run("entry instances", func(t *testing.T) {
		output := mustRun(t, s, "entry-instances", "-entry", "http://"+s.Entries[0].CallerAddress())
		for _, entry := range s.Entries {
			assert.Assert(t, strings.Contains(output, entry.CallerAddress()), output)
		}
	})

	t.Run("racing operators", func(t *testing.T) { raceOperators(t, s) })
}

// raceOperators lets several operators publish from the same version at the same
// time, of which one must succeed, and then lets several drain upstreams at the same
// time.
func raceOperators(t *testing.T, s *System) {
	const operators = 6
	run := func(args func(n int) []string) (codes [operators]int) {
		var running sync.WaitGroup
		for n := range operators {
			running.Go(func() {
				var output bytes.Buffer
				all := append([]string{args(n)[0]}, append([]string{"-platform", s.PlatformURL}, args(n)[1:]...)...)
				codes[n] = ctl.Main(t.Context(), "ferryctl", all, &output, &output)
			})
		}
		running.Wait()
		return codes
	}
	var published dynamic.Config
	assert.NilError(t, json.Unmarshal([]byte(mustRun(t, s, "get", "-json")), &published))
	files := make([]string, operators)
	for n := range operators {
		next, err := published.Set.Clone()
		assert.NilError(t, err)
		next.Customers = append(next.Customers, dynamic.Customer{Name: fmt.Sprint("new-", n), Rate: units.Rate(1), Burst: 1})
		files[n] = objectFile(t, *next)
	}
	codes := run(func(n int) []string {
		return []string{"publish", "-base-version", fmt.Sprint(published.Version), files[n]}
	})
	succeeded := 0
	for n, code := range codes {
		got, _ := ferryctl(t, s, "get", "customers", fmt.Sprint("new-", n))
		assert.Equal(t, got, code, "the customer exists if and only if the publish command succeeded")
		if code == ctl.ExitDone {
			succeeded++
		}
	}
	assert.Equal(t, succeeded, 1)

	names := []string{"lookup-v1-02", "lookup-v1-03", "ledger-v1-02", "ledger-v1-03", "archive-v1-02", "archive-v1-03"}
	codes = run(func(n int) []string { return []string{"drain", names[n]} })
	for n, code := range codes {
		got, _ := ferryctl(t, s, "get", "drains", "drain-"+names[n])
		assert.Equal(t, got, code, "the drain exists if and only if the drain command succeeded")
	}
	waitInForce(t, s)
}

func TestRolloutCommands(t *testing.T) {
	s := startSystem(t, Options{Entries: 6, Change: func(set *dynamic.Set) {
		set.Services[0].StableVersion = firstVersion
		set.Versions = append(set.Versions, dynamic.Version{Name: secondVersion, Service: serviceLookup})
	}})
	for n := range s.domains {
		assert.NilError(t, s.AddUpstream(serviceSizes[0], secondVersion, n))
	}
	waitReady(t, s)
	startLoad(t, s)
	mustRun(t, s, "publish", objectFile(t, s.Set))
	mustRun(t, s, "rollout", "-service", serviceLookup, "-from", firstVersion, "-to", secondVersion,
		"-canary-share", "20%", "-step", "80%", "-step-interval", "1s", "-deadline", "180s", "second")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, r := range fetchReport(t, s).Rollouts {
			if r.Share > 0 && executed(s, "lookup-v2") > 0 {
				return poll.Success()
			}
		}
		return poll.Continue("no share yet")
	}, poll.WithTimeout(inForceTimeout))
	mustRun(t, s, "rollout", "-remove", "-stable-version", firstVersion, "second")
	end := waitForShift(t, s, rolloutReports, shift.TakenBack)
	assert.Equal(t, end.Reason, string(shift.ReasonRemoved))
	waitInForce(t, s)
	before := executed(s, "lookup-v2")
	readEverywhere(t, s)
	assert.Equal(t, executed(s, "lookup-v2"), before)
}
