package upstream_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphireferry.example/ferry/balancing"
	"samphireferry.example/ferry/errkind"
	"samphireferry.example/ferry/routing"
	standin "samphireferry.example/ferry/standin/upstream"
	"samphireferry.example/ferry/telemetry"
	"samphireferry.example/ferry/units"
	"samphireferry.example/ferry/upstream"
)

// contractCase is one fault of an upstream and the expected result of an attempt.
type contractCase struct {
	name  string
	fault standin.Fault
	// noEcho clears EchoRequestID in the service.
	noEcho bool
	// kind is the kind of the error of Send or of reading the body; wantOK means
	// no error.
	kind   errkind.Kind
	wantOK bool
	// reason is the expected retry reason; empty skips the check.
	reason telemetry.RetryReason
	// result is the expected classification for the balancer.
	result balancing.Result
	// alternativeStatus is the status of a response that may be received in place
	// of the error; 0 means none.
	alternativeStatus int
	// runs is the number of executions.
	runs int
}

var contractCases = []contractCase{
	{name: "none", fault: standin.Fault{}, wantOK: true, runs: 1},
	{name: "error status", fault: standin.Fault{Kind: standin.FaultStatus, Status: 500}, wantOK: true, result: balancing.ResultError, runs: 1},
	{name: "slow", fault: standin.Fault{Kind: standin.FaultSlow, Delay: units.Duration(20 * time.Millisecond)}, wantOK: true, runs: 1},
	{name: "later than the deadline", fault: standin.Fault{Kind: standin.FaultSlow, Delay: units.Duration(time.Hour)}, kind: errkind.UpstreamTimeout, alternativeStatus: http.StatusGatewayTimeout, runs: 1},
	{name: "silent", fault: standin.Fault{Kind: standin.FaultSilent}, kind: errkind.UpstreamTimeout, result: balancing.ResultFailed, runs: 0},
	{name: "dropped before running", fault: standin.Fault{Kind: standin.FaultDropBefore}, kind: errkind.UpstreamFailed, reason: telemetry.RetryUpstreamFailed, result: balancing.ResultFailed, runs: 0},
	{name: "dropped after running", fault: standin.Fault{Kind: standin.FaultDropAfter}, kind: errkind.UpstreamFailed, reason: telemetry.RetryUpstreamFailed, result: balancing.ResultFailed, runs: 1},
	{name: "truncated", fault: standin.Fault{Kind: standin.FaultTruncate}, kind: errkind.AnswerTruncated, reason: telemetry.RetryAnswerTruncated, result: balancing.ResultFailed, runs: 1},
	{name: "without length", fault: standin.Fault{Kind: standin.FaultNoLength}, noEcho: true, kind: errkind.AnswerTruncated, reason: telemetry.RetryAnswerTruncated, result: balancing.ResultFailed, runs: 1},
	{name: "crossed", fault: standin.Fault{Kind: standin.FaultCrossed}, kind: errkind.AnswerMismatched, reason: telemetry.RetryAnswerMismatched, result: balancing.ResultFailed, runs: 1},
	{name: "without echo", fault: standin.Fault{Kind: standin.FaultNoEcho}, kind: errkind.AnswerMismatched, reason: telemetry.RetryAnswerMismatched, result: balancing.ResultFailed, runs: 1},
	{name: "without echo, not required", fault: standin.Fault{Kind: standin.FaultNoEcho}, noEcho: true, wantOK: true, runs: 1},
	{name: "shed", fault: standin.Fault{Kind: standin.FaultShed}, kind: errkind.Overloaded, reason: telemetry.RetryUpstreamShed, result: balancing.ResultShed, runs: 0},
}

// TestSendClassifiesUpstreamFaults checks how an attempt classifies every fault,
// for idempotent and at-most-once requests, new and pooled connections, and
// response bodies that are short, long or streamed.
func TestSendClassifiesUpstreamFaults(t *testing.T) {
	for _, c := range contractCases {
		for _, atMostOnce := range []bool{false, true} {
			for _, pooled := range []bool{false, true} {
				for _, query := range []string{"bytes=200", "bytes=200000", "bytes=2000&stream_ms=40"} {
					name := fmt.Sprintf("%s/at_most_once=%v/pooled=%v/%s", c.name, atMostOnce, pooled, query)
					t.Run(name, func(t *testing.T) {
						t.Parallel()
						c.run(t, atMostOnce, pooled, query)
					})
				}
			}
		}
	}
}

// The times until the deadline of a request. Only an attempt that ends by its deadline, or by
// the silence timeout, has to wait for it; the others must not depend on the speed of the
// machine.
const (
	deadlineReached    = 4 * time.Second
	deadlineNotReached = time.Minute
)

func (c contractCase) run(t *testing.T, atMostOnce, pooled bool, query string) {
	deadline, silence := deadlineNotReached, deadlineNotReached
	if c.kind == errkind.UpstreamTimeout {
		deadline, silence = deadlineReached, 0
	}
	s := standin.New(standin.Options{Name: "u1", Slots: 4})
	server := httptest.NewServer(s)
	defer server.Close()
	client := upstream.New(upstream.Options{SilenceTimeout: silence})
	defer client.Close()
	service := &routing.Service{Name: "lookup", EchoRequestID: !c.noEcho}

	if pooled {
		_, body, err := sendAndRead(t, client, server, service, deadlineNotReached, false, "/first", "")
		assert.NilError(t, err)
		assert.Equal(t, body, string(standin.Body("/first", "", len(body))))
	}
	before := s.Ledger().Snapshot()
	if c.fault.Kind != "" {
		s.SetFaults(standin.Faults{Requests: []standin.Fault{c.fault}})
	}
	status, body, err := sendAndRead(t, client, server, service, deadline, atMostOnce, "/second", query)
	after := s.Ledger().Snapshot()

	if c.alternativeStatus == 0 {
		assert.Equal(t, upstream.ResultOf(status, err), c.result)
	}
	if c.alternativeStatus != 0 && err == nil {
		assert.Equal(t, status, c.alternativeStatus)
	} else if c.wantOK {
		assert.NilError(t, err)
		assert.Equal(t, body, string(standin.Body("/second", query, len(body))))
	} else {
		assert.Equal(t, errkind.Of(err), c.kind, "%v", err)
		assert.Equal(t, upstream.MayHaveRun(err), c.kind.Row().Outcome != errkind.NotRun)
		reason, _ := upstream.RetryReason(err)
		if c.reason != "" {
			assert.Equal(t, reason, c.reason)
		}
	}
	assert.Equal(t, after.Executed-before.Executed, c.runs)
	assert.Equal(t, after.Arrived-before.Arrived, 1)
}

func sendAndRead(t *testing.T, client *upstream.Client, server *httptest.Server, service *routing.Service, timeout time.Duration, atMostOnce bool, path, query string) (int, string, error) {
	req := newRequest(atMostOnce, path, "body of the request")
	req.RawQuery = query
	req.Header.Set("Idempotency-Key", "home.unique")
	response, err := client.Send(withTimeout(t, timeout), newTarget(server), service, req)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err == nil && response.ContentLength >= 0 {
		assert.Equal(t, int64(len(body)), response.ContentLength)
	}
	return response.Status, string(body), err
}

func TestUnreachableUpstreamHasNotRun(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	server.Close()
	client := upstream.New(upstream.Options{})
	_, err := client.Send(withTimeout(t, time.Second), newTarget(server), echoService, newRequest(true, "/", "body"))
	assert.Equal(t, errkind.Of(err), errkind.NoUpstream)
	assert.Assert(t, !upstream.MayHaveRun(err))
	reason, _ := upstream.RetryReason(err)
	assert.Equal(t, reason, telemetry.RetryConnectionFailed)
}
