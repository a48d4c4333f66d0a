package upstream_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphireferry.example/ferry/errkind"
	standin "samphireferry.example/ferry/standin/upstream"
	"samphireferry.example/ferry/units"
	"samphireferry.example/ferry/upstream"
)

var randomFaults = []standin.Fault{
	{Kind: standin.FaultDropBefore, Every: 13},
	{Kind: standin.FaultDropAfter, Every: 11},
	{Kind: standin.FaultTruncate, Every: 17},
	{Kind: standin.FaultCrossed, Every: 7},
	{Kind: standin.FaultNoEcho, Every: 19},
	{Kind: standin.FaultShed, Every: 5},
	{Kind: standin.FaultSilent, Every: 53},
	{Kind: standin.FaultSlow, Every: 29, Delay: units.Duration(400 * time.Millisecond)},
}

// TestRandomFaults sends concurrent requests to an upstream with every kind of
// fault. Each request runs at most once and never if its error has the outcome
// not-run, and each response is complete and belongs to its request.
func TestRandomFaults(t *testing.T) {
	s := standin.New(standin.Options{Name: "u1", Slots: 8})
	server := httptest.NewServer(s)
	defer server.Close()
	client := upstream.New(upstream.Options{SilenceTimeout: 20 * time.Millisecond})
	defer client.Close()
	s.SetFaults(standin.Faults{Requests: randomFaults})

	const senders, requestsPerSender = 8, 60
	var mu sync.Mutex
	notRun := map[string]bool{}
	succeeded := 0
	var running sync.WaitGroup
	for sender := range senders {
		random := rand.New(rand.NewPCG(5, uint64(sender)))
		running.Go(func() {
			for i := range requestsPerSender {
				key := fmt.Sprintf("home.%d-%d", sender, i)
				body := []string{"", "body"}[random.IntN(2)]
				req := newRequest(random.IntN(2) == 0, "/"+key, body)
				req.RawQuery = fmt.Sprintf("bytes=%d", 1+random.IntN(100_000))
				req.Header.Set("Idempotency-Key", key)
				response, err := client.Send(withTimeout(t, 200*time.Millisecond), newTarget(server), echoService, req)
				var got []byte
				if err == nil {
					got, err = io.ReadAll(response.Body)
					response.Body.Close()
				}
				if err == nil && response.Status == 200 {
					want := standin.Body("/"+key, req.RawQuery, int(response.ContentLength))
					assert.Check(t, string(got) == string(want), "%s received another response", key)
				}
				mu.Lock()
				notRun[key] = err != nil && errkind.Of(err).Row().Outcome == errkind.NotRun
				if err == nil {
					succeeded++
				}
				mu.Unlock()
			}
		})
	}
	running.Wait()
	server.Close()
	ledger := s.Ledger().Snapshot()
	assert.Assert(t, ledger.MaxExecutions() <= 1)
	for key, reportedNotRun := range notRun {
		assert.Assert(t, !reportedNotRun || ledger.Executions[key] == 0, "%s ran", key)
	}
	assert.Assert(t, succeeded > senders*requestsPerSender/3, "%d succeeded", succeeded)
}
