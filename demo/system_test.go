package demo

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"samphireferry.example/ferry/invariant"
)

// startSystem starts a system that is stopped at the end of the test. Violated
// invariants fail the test.
func startSystem(t *testing.T, options Options) *System {
	t.Helper()
	options.OnViolation = func(name invariant.Name, detail string) { t.Errorf("invariant %s: %s", name, detail) }
	s, err := Start(options)
	t.Cleanup(func() { assert.NilError(t, s.Stop()) })
	assert.NilError(t, err)
	return s
}

// get sends a GET request and returns the status and the body, or 0 and the error.
func get(t *testing.T, url, key string) (int, string) {
	t.Helper()
	r, err := http.NewRequest(http.MethodGet, url, nil)
	assert.NilError(t, err)
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(body)
}

// waitReady waits until every entry instance serves reads.
func waitReady(t *testing.T, s *System) {
	t.Helper()
	for _, entry := range s.Entries {
		url := "http://" + entry.CallerAddress() + "/dossiers/1"
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			status, body := get(t, url, KeyHighRate)
			if status == http.StatusOK {
				return poll.Success()
			}
			return poll.Continue("%s: %d %s", url, status, body)
		}, poll.WithTimeout(60*time.Second), poll.WithDelay(100*time.Millisecond))
	}
}

func TestEveryEntryInstanceServesReads(t *testing.T) {
	s := startSystem(t, Options{})
	waitReady(t, s)
	for _, entry := range s.Entries {
		status, body := get(t, "http://"+entry.OperatorAddress()+"/healthz", "")
		assert.Equal(t, status, http.StatusOK, body)
		// Reads are served before the rate shares are confirmed; readiness needs both.
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			status, body := get(t, "http://"+entry.OperatorAddress()+"/readyz", "")
			if status == http.StatusOK {
				return poll.Success()
			}
			assert.Equal(t, strings.TrimSpace(body), "rate shares not confirmed")
			return poll.Continue("%d %s", status, body)
		}, poll.WithTimeout(inForceTimeout), poll.WithDelay(20*time.Millisecond))
	}
	get(t, "http://"+s.Entries[0].CallerAddress()+"/filings/1", KeyHighRate)
	_, counters := get(t, "http://"+s.Entries[0].OperatorAddress()+"/metrics", "")
	want := `ferry_request_refusals_total{kind="idempotency_key_missing",service="ledger",customer="laurier"} 1`
	assert.Assert(t, strings.Contains(counters, want))
}

// filingResult is the result of one attempt of a filing. The status is 0 when no
// response came.
type filingResult struct {
	status  int
	outcome string
}

// sendFiling makes one attempt of a filing with the idempotency key.
func sendFiling(entry, key string) filingResult {
	r, err := http.NewRequest(http.MethodPost, "http://"+entry+"/filings/1", strings.NewReader("vote"))
	if err != nil {
		return filingResult{outcome: err.Error()}
	}
	r.Header.Set("Authorization", "Bearer "+KeyHighRate)
	r.Header.Set("Idempotency-Key", key)
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return filingResult{outcome: err.Error()}
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return filingResult{status: response.StatusCode, outcome: response.Header.Get("Ferry-Outcome")}
}

func TestRepeatedFilingsRunOnce(t *testing.T) {
	s := startSystem(t, Options{})
	waitReady(t, s)
	var running sync.WaitGroup
	keys := 20
	for k := range keys {
		key := fmt.Sprintf("%s.vote-%d", s.Entries[k%len(s.Entries)].Home(), k)
		for attempt := range 3 {
			entry := s.Entries[(k+3*attempt)%len(s.Entries)].CallerAddress()
			running.Go(func() { sendFiling(entry, key) })
		}
	}
	running.Wait()
	for k := range keys {
		key := fmt.Sprintf("%s.vote-%d", s.Entries[k%len(s.Entries)].Home(), k)
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			last := sendFiling(s.Entries[0].CallerAddress(), key)
			if last.status == http.StatusOK && last.outcome == "ran" {
				return poll.Success()
			}
			return poll.Continue("%s: %v", key, last)
		}, poll.WithTimeout(20*time.Second))
	}
	ran := s.Executions()
	assert.Equal(t, len(ran), keys)
	for key, n := range ran {
		assert.Equal(t, n, 1, key)
	}
}
