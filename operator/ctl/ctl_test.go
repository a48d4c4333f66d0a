package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphireferry.example/ferry/config/dynamic"
	"samphireferry.example/ferry/operator"
	"samphireferry.example/ferry/platform"
	"samphireferry.example/ferry/routing"
	standin "samphireferry.example/ferry/standin/platform"
)

// system runs commands against a stand-in platform.
type system struct {
	t     *testing.T
	store *standin.Platform
	url   string
}

func newSystem(t *testing.T) *system {
	store := standin.New(standin.Options{})
	server := httptest.NewServer(store.Handler())
	t.Cleanup(server.Close)
	return &system{t: t, store: store, url: server.URL}
}

// run runs a command, checks its exit code and returns its output and error output.
func (s *system) run(code int, args ...string) string {
	s.t.Helper()
	s.t.Setenv("FERRYCTL_PLATFORM", s.url)
	var output bytes.Buffer
	got := Main(s.t.Context(), "ferryctl", args, &output, &output)
	assert.Equal(s.t, got, code, "%v: %s", args, output.String())
	return output.String()
}

func (s *system) published() *dynamic.Config {
	entry, err := s.store.Get(s.t.Context(), platform.KeyConfig)
	assert.NilError(s.t, err)
	config, err := dynamic.Decode(entry.Value)
	assert.NilError(s.t, err)
	return config
}

func exampleFiles(t *testing.T) []string {
	files, err := filepath.Glob("../../examples/consortium/*.hujson")
	assert.NilError(t, err)
	assert.Equal(t, len(files), 4)
	return files
}

func TestCommandsPublishAndReject(t *testing.T) {
	s := newSystem(t)
	files := exampleFiles(t)
	with := func(args ...string) []string { return append(args, files...) }
	assertContains := func(output string, texts ...string) {
		t.Helper()
		for _, text := range texts {
			assert.Assert(t, strings.Contains(output, text), "%q is not in %s", text, output)
		}
	}

	assertContains(s.run(ExitDone, with("check")...), "no fault")
	assertContains(s.run(ExitFailed, "get"), "nothing has been published")
	assertContains(s.run(ExitDone, with("publish")...), "added customers fleuve", "published version 1")
	assertContains(s.run(ExitDone, with("diff")...), "no change")
	assertContains(s.run(ExitDone, "get", "versions"), "lookup/v1")
	assertContains(s.run(ExitDone, "get", "customers", "fleuve"), `"rate": "400/s"`)
	assertContains(s.run(ExitFailed, "get", "customers", "nobody"), `no customers "nobody" in version 1`)
	assertContains(s.run(ExitBadUsage, "get", "custmers"), "no kind")

	created := s.run(ExitDone, "key", "create", "-customer", "fjord", "-name", "fjord-2")
	key, _, _ := strings.Cut(created, "\n")
	config := s.published()
	table, err := routing.Compile(config)
	assert.NilError(t, err)
	found, ok := table.Key(routing.HashKey(key))
	assert.Assert(t, ok)
	assert.Equal(t, found.Name, "fjord-2")
	stored, err := json.Marshal(config)
	assert.NilError(t, err)
	assert.Assert(t, !bytes.Contains(stored, []byte(key)), "the key itself is stored")
	assertContains(s.run(ExitFailed, "key", "create", "-customer", "rimouski", "-name", "r-2"), `customer "rimouski" has left`)
	assertContains(s.run(ExitFailed, with("publish")...), "removed keys fjord-2", "-allow-removals")
	assertContains(s.run(ExitDone, "key", "withdraw", "fjord-2"), "changed keys fjord-2: withdrawn", "published version 3")
	assertContains(s.run(ExitDone, "key", "withdraw", "fjord-1"), "published version 4")
	assertContains(s.run(ExitFailed, with("publish", "-allow-removals")...), "keys fjord-1: withdrawn: the published key is withdrawn")

	assertContains(s.run(ExitDone, "drain", "ledger-01"), "added drains drain-ledger-01")
	assertContains(s.run(ExitFailed, "drain", "ledger-01"), "the name stands twice")
	assertContains(s.run(ExitDone, "drain", "-end", "ledger-01"), "removed drains drain-ledger-01")
	assertContains(s.run(ExitFailed, "drain", "nothing"), `no upstream or failure domain "nothing" is published`)
	assertContains(s.run(ExitDone, "move", "-service", "lookup", "-from", "quebec-1", "-to", "quebec-2", "-cap", "50%", "-deadline", "10m", "m1"), "added moves m1")
	assertContains(s.run(ExitFailed, "move", "-service", "lookup", "-from", "quebec-1", "-to", "quebec-2", "-deadline", "10m", "m2"), `move "m1" already shifts service "lookup"`)
	assertContains(s.run(ExitBadUsage, "move", "-cap", "half", "m3"), "is not a share")
	assertContains(s.run(ExitDone, "move", "-remove", "m1"), "removed moves m1")
	assertContains(s.run(ExitFailed, "rollout", "-service", "lookup", "-from", "v1", "-to", "v2", "-deadline", "10m", "r1"), `service "lookup" has no version "v2"`)
	assertContains(s.run(ExitFailed, with("publish", "-base-version", "1")...), "is published, not 1")
	assert.Equal(t, s.published().Version, uint64(8))
}

func TestExitCodesWithoutResponse(t *testing.T) {
	s := newSystem(t)
	s.store.SetFaults(standin.Faults{LoseAnswers: 1})
	output := s.run(ExitUnavailable, append([]string{"publish", "-timeout", "500ms"}, exampleFiles(t)...)...)
	assert.Assert(t, strings.Contains(output, "may or may not be published"), output)
	s.store.SetFaults(standin.Faults{Outage: standin.OutageRefuse})
	s.run(ExitUnavailable, "get", "-timeout", "500ms")
	s.run(ExitBadUsage)
	s.run(ExitBadUsage, "publish")
	s.run(ExitBadUsage, "get", "-platform", "10.0.0.1")
}

// fakeStatus is a StatusSource with a fixed status.
type fakeStatus operator.InstanceStatus

func (f fakeStatus) Status(context.Context) operator.InstanceStatus {
	return operator.InstanceStatus(f)
}

func (s *system) startInstance(status operator.InstanceStatus) string {
	mux := http.NewServeMux()
	operator.Register(mux, fakeStatus(status))
	server := httptest.NewServer(mux)
	s.t.Cleanup(server.Close)
	s.listInstance(status.Name, status.FailureDomain, strings.TrimPrefix(server.URL, "http://"))
	return server.URL
}

func (s *system) listInstance(name, domain, address string) {
	s.store.SetInstance(platform.Instance{Name: name, Role: roleEntry, OperatorAddress: address, FailureDomain: domain, State: platform.InstanceLive})
}

func TestStatusListsInstancesWithoutVersion(t *testing.T) {
	s := newSystem(t)
	s.run(ExitDone, append([]string{"publish"}, exampleFiles(t)...)...)
	s.run(ExitDone, "key", "withdraw", "fjord-1")
	finished := operator.ShiftStatus{Name: "m1", Service: "lookup", State: "done", Step: 6, Share: 0.5}
	running := operator.ShiftStatus{Name: "m1", Service: "lookup", State: "running", Step: 5, Share: 0.4}
	url := s.startInstance(operator.InstanceStatus{Name: "e1", FailureDomain: "quebec-1", ConfigVersion: 2, StoreHeard: true, WithdrawnKeys: []string{"fjord-1"}, Moves: []operator.ShiftStatus{finished}})
	assert.Assert(t, strings.Contains(s.run(ExitDone, "status"), "version 2 is in force everywhere"))

	s.startInstance(operator.InstanceStatus{Name: "e2", FailureDomain: "quebec-2", ConfigVersion: 1, StoreHeard: true, Moves: []operator.ShiftStatus{running}})
	s.startInstance(operator.InstanceStatus{Name: "e3", FailureDomain: "quebec-2", ConfigVersion: 1, StoreHeard: true, StoreAgeMillis: (time.Minute).Milliseconds()})
	s.listInstance("e4", "fjord-9", "127.0.0.1:1")
	var report operator.Report
	output := s.run(ExitFailed, "status", "-json", "-wait", "300ms")
	assert.NilError(t, json.NewDecoder(strings.NewReader(output)).Decode(&report))
	states := map[string]operator.InstanceState{}
	for _, i := range report.Instances {
		states[i.Name] = i.State
	}
	assert.DeepEqual(t, states, map[string]operator.InstanceState{
		"e1": operator.StateInForce,
		"e2": operator.StateBehind,
		"e3": operator.StateCutOff,
		"e4": operator.StateUnreachable,
	})
	assert.DeepEqual(t, report.WithdrawnKeys, []operator.KeyReport{{Name: "fjord-1", NotYet: []string{"e4", "e2", "e3"}}})
	assert.Equal(t, report.Moves[0].State, "done")
	assert.DeepEqual(t, report.Moves[0].Behind, []string{"e4", "e2", "e3"})

	table := s.run(ExitFailed, "status", "-version", "2")
	assert.Assert(t, strings.Contains(table, "cut off from the store for 1m0s"), table)
	assert.Assert(t, strings.Contains(table, "version 2 is not in force everywhere"), table)

	// While the platform is unavailable, the instance of -entry is still reported.
	s.store.SetFaults(standin.Faults{Outage: standin.OutageRefuse})
	assert.Assert(t, strings.Contains(s.run(ExitDone, "status", "-entry", url), "version 2 is in force everywhere"))
	s.run(ExitUnavailable, "status")
}

func TestEntryInstances(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, `{"ttl_seconds": 5, "home": "h", "entry_instances": [{"address": "10.0.0.1:80", "failure_domain": "quebec-1"}]}`)
	}))
	defer server.Close()
	s := newSystem(t)
	output := s.run(ExitDone, "entry-instances", "-entry", server.URL)
	assert.Assert(t, strings.Contains(output, "10.0.0.1:80"), output)
	s.run(ExitUnavailable, "entry-instances", "-entry", "http://127.0.0.1:1")
}

func TestCertificateFiles(t *testing.T) {
	s := newSystem(t)
	dir := t.TempDir()
	s.run(ExitDone, "certificate", "authority", "-dir", dir)
	issue := []string{"certificate", "issue", "-name", "e1", "-dir", dir, "-authority-cert", dir + "/authority.crt", "-authority-key", dir + "/authority.key"}
	s.run(ExitDone, issue...)
	s.run(ExitFailed, issue...)
	s.run(ExitBadUsage, "certificate", "authority", "-validity", "1m")
	for _, name := range []string{"authority.crt", "authority.key", "e1.crt", "e1.key"} {
		info, err := os.Stat(filepath.Join(dir, name))
		assert.NilError(t, err)
		assert.Equal(t, info.Mode().Perm(), os.FileMode(0o600), name)
	}
}
