package dispatch

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"samphireferry.example/ferry/errkind"
	"samphireferry.example/ferry/routing"
	"samphireferry.example/ferry/telemetry"
)

// scriptedTarget responds to each attempt with the next step of a script and
// records the request bodies.
type scriptedTarget struct {
	steps  []step
	bodies []string
}

type step struct {
	kind errkind.Kind
	// body is the response body when ok is set; length is its declared length.
	ok     bool
	body   string
	length int64
	// unread leaves the request body unread.
	unread bool
}

func (s *scriptedTarget) Send(_ context.Context, request *Request, _ string) (*Response, error) {
	next := s.steps[0]
	s.steps = s.steps[1:]
	sent := ""
	if request.Body != nil && !next.unread {
		body, _ := io.ReadAll(request.Body)
		sent = string(body)
	}
	s.bodies = append(s.bodies, sent)
	if !next.ok {
		return nil, errkind.New(next.kind, "")
	}
	body := io.NopCloser(strings.NewReader(next.body))
	return &Response{Status: 200, Header: http.Header{}, Body: body, ContentLength: next.length}, nil
}

// fixedChooser makes the same choice for every request.
type fixedChooser struct {
	choice Choice
}

func (c fixedChooser) Choose(*Request) Choice { return c.choice }

// fixedTargets returns the same targets for every version.
func fixedTargets(targets ...Target) func(string) []Target {
	return func(string) []Target { return targets }
}

// fixedBudget allows every retry of idempotent requests, or none.
type fixedBudget bool

func (fixedBudget) Succeed() {}
func (b fixedBudget) Spend(atMostOnce bool, _ error) bool {
	return bool(b) && !atMostOnce
}

func testRoute(atMostOnce bool) *routing.Route {
	return &routing.Route{AtMostOnce: atMostOnce, Service: &routing.Service{QueueTimeout: 200 * time.Millisecond}}
}

func TestRetriesDependOnOutcome(t *testing.T) {
	succeeds := step{ok: true, body: "done", length: 4}
	fails := func(kind errkind.Kind) step { return step{kind: kind} }
	cases := map[string]struct {
		atMostOnce bool
		noBudget   bool
		length     int64
		steps      []step
		want       errkind.Kind
		ok         bool
		attempts   int
	}{
		"first response":                         {steps: []step{succeeds}, ok: true, attempts: 1},
		"idempotent after failure":               {steps: []step{fails(errkind.UpstreamFailed), succeeds}, ok: true, attempts: 2},
		"idempotent after truncated response":    {steps: []step{{ok: true, body: "do", length: 4}, succeeds}, ok: true, attempts: 2},
		"idempotent after mismatched response":   {steps: []step{fails(errkind.AnswerMismatched), succeeds}, ok: true, attempts: 2},
		"idempotent without budget":              {noBudget: true, steps: []step{fails(errkind.UpstreamFailed)}, want: errkind.UpstreamFailed, attempts: 1},
		"refusal after a failure":                {steps: []step{fails(errkind.UpstreamFailed), fails(errkind.DeadlineExceeded)}, want: errkind.UpstreamFailed, attempts: 2},
		"shed without budget":                    {noBudget: true, steps: []step{fails(errkind.Overloaded), succeeds}, ok: true, attempts: 2},
		"at-most-once after failure":             {atMostOnce: true, steps: []step{fails(errkind.UpstreamFailed)}, want: errkind.UpstreamFailed, attempts: 1},
		"at-most-once after timeout":             {atMostOnce: true, steps: []step{fails(errkind.UpstreamTimeout)}, want: errkind.UpstreamTimeout, attempts: 1},
		"at-most-once after mismatched response": {atMostOnce: true, steps: []step{fails(errkind.AnswerMismatched)}, want: errkind.AnswerMismatched, attempts: 1},
		"at-most-once after not-run":             {atMostOnce: true, steps: []step{fails(errkind.NoUpstream), succeeds}, ok: true, attempts: 2},
		"large body that was read":               {length: 1 << 20, steps: []step{fails(errkind.Overloaded)}, want: errkind.Overloaded, attempts: 1},
		"large body that was not read":           {length: 1 << 20, steps: []step{{kind: errkind.Overloaded, unread: true}, succeeds}, ok: true, attempts: 2},
		"caller's error is not retried":          {steps: []step{fails(errkind.BodyCut)}, want: errkind.BodyCut, attempts: 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			target := &scriptedTarget{steps: c.steps}
			chooser := fixedChooser{Choice{Version: "v1", Targets: fixedTargets(target, target, target)}}
			d := NewDispatcher(chooser, fixedBudget(!c.noBudget), telemetry.New())
			length := int64(len("vote"))
			if c.length > 0 {
				length = c.length
			}
			request := &Request{Route: testRoute(c.atMostOnce), Method: "POST", Body: strings.NewReader("vote"), ContentLength: length}
			response, err := d.Dispatch(context.Background(), request)
			assert.Equal(t, len(target.bodies), c.attempts)
			if !c.ok {
				assert.Equal(t, errkind.Of(err), c.want)
				return
			}
			assert.NilError(t, err)
			body, err := io.ReadAll(response.Body)
			assert.NilError(t, err)
			assert.Equal(t, string(body), "done")
			assert.Equal(t, target.bodies[len(target.bodies)-1], "vote")
		})
	}
}

func TestFallbackVersionIsTriedAfterRefusals(t *testing.T) {
	canary := &scriptedTarget{steps: []step{{kind: errkind.NoUpstream}}}
	stable := &scriptedTarget{steps: []step{{ok: true, body: "done", length: 4}}}
	chooser := fixedChooser{Choice{Version: "v2", Fallback: "v1", Targets: func(version string) []Target {
		if version == "v1" {
			return []Target{stable}
		}
		return []Target{canary}
	}}}
	d := NewDispatcher(chooser, fixedBudget(true), telemetry.New())
	_, err := d.Dispatch(context.Background(), &Request{Route: testRoute(true)})
	assert.NilError(t, err)
}

func TestTargetsAreTriedAgainWithinTheQueueTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		full := step{kind: errkind.Overloaded}
		target := &scriptedTarget{steps: []step{full, full, full, {ok: true, body: "done", length: 4}}}
		d := NewDispatcher(fixedChooser{Choice{Targets: fixedTargets(target)}}, fixedBudget(true), telemetry.New())
		_, err := d.Dispatch(context.Background(), &Request{Route: testRoute(true)})
		assert.NilError(t, err)

		start := time.Now()
		alwaysFull := &scriptedTarget{steps: slices.Repeat([]step{full}, 100)}
		d = NewDispatcher(fixedChooser{Choice{Targets: func(string) []Target { return []Target{alwaysFull} }}}, fixedBudget(true), telemetry.New())
		_, err = d.Dispatch(context.Background(), &Request{Route: testRoute(true)})
		assert.Equal(t, errkind.Of(err), errkind.Overloaded)
		assert.Assert(t, time.Since(start) <= 200*time.Millisecond)
	})
}

func TestPassedDeadlineIsNotRun(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), -1)
	defer cancel()
	d := NewDispatcher(fixedChooser{Choice{Targets: fixedTargets(&scriptedTarget{})}}, fixedBudget(true), telemetry.New())
	_, err := d.Dispatch(ctx, &Request{Route: testRoute(true)})
	assert.Equal(t, errkind.Of(err), errkind.DeadlineExceeded)
}
