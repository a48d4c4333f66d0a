package ctl

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"samphireferry.example/ferry/operator/where"
)

// Guards against a question that loses a flag, and against output without the reasons.
func TestWhereAsksAnInstanceAndShowsTheReasons(t *testing.T) {
	answer := where.Answer{
		Instance: "e1", FailureDomain: "quebec-1", Region: "quebec", ConfigVersion: 4,
		Upstream: "u2", Customer: "fjord", Service: "lookup", Order: "object",
		Route: &where.Route{Name: "read", Host: "a.example", Prefix: "/read/", Priority: 2, TimeoutMillis: 1500},
		Rate:  &where.Rate{PerSecond: 100, Burst: 200, HerePerSecond: 12, HereBurst: 20, Tokens: 7.5},
		Choices: []where.Choice{{Candidates: []where.Candidate{
			{Upstream: "u1", Reason: "paused", ForMillis: 1500, Slots: 4, Load: 3, LoadAgeMillis: 250},
			{Upstream: "u2", Reason: "chosen", Slots: 4, LoadAgeMillis: -1},
		}}},
	}
	for range 2 * shownCandidates {
		answer.Choices[0].Candidates = append(answer.Choices[0].Candidates, where.Candidate{Upstream: "far", Reason: "not_of_object"})
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		assert.Check(t, r.URL.Path == where.Path)
		assert.Check(t, r.URL.RawQuery == "customer=fjord&host=a.example&method=PUT&object=o+7&path=%2Fread%2F7%252f", r.URL.RawQuery)
		assert.Check(t, json.NewEncoder(w).Encode(answer) == nil)
	}))
	defer server.Close()
	s := newSystem(t)
	ask := []string{"where", "-entry", server.URL, "-host", "a.example", "-method", "PUT", "-object", "o 7", "-customer", "fjord"}
	output := s.run(ExitDone, append(ask, "/read/7%2f")...)
	for _, text := range []string{
		"route read (a.example/read/, priority 2, timeout 1.5s)",
		"customer fjord, 7.5 of 20 tokens here, 12.0/s here of 100/s and 200 in the fleet, 0 waiting",
		"paused for 1.5s", "250ms", "12 more (-all shows them): 12 not_of_object", "goes to u2",
	} {
		assert.Assert(t, strings.Contains(output, text), "%q is not in %s", text, output)
	}
	output = s.run(ExitDone, append(ask, "-all", "/read/7%2f")...)
	assert.Equal(t, strings.Count(output, "not_of_object"), 2*shownCandidates)
	answer.Refusal = "overloaded"
	assert.Assert(t, strings.Contains(s.run(ExitDone, append(ask, "/read/7%2f")...), "refused: overloaded"))
	s.run(ExitBadUsage, "where", "/read/7")
	s.run(ExitUnavailable, "where", "-entry", "http://127.0.0.1:1", "/read/7")
}
