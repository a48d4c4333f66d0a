package requestkeys

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"samphireferry.example/ferry/errkind"
	"samphireferry.example/ferry/rpc/entrypb"
)

// runLedger counts the runs of each key, as seen by upstreams.
type runLedger struct {
	mu   sync.Mutex
	runs map[string]int
	// results counts the results returned to callers.
	results map[string]int
}

func (l *runLedger) run(key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[key]++
}

func (l *runLedger) runsOf(key string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[key]
}

func (l *runLedger) recordResult(result string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.results[result]++
}

// attempt sends one request with the key to an instance and simulates its
// upstream. It returns the result for the caller.
func (l *runLedger) attempt(t *testing.T, inst *node, customer, text string) string {
	n := inst.network
	if inst.isDeadAfterPause() {
		return "dead"
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	key, err := ParseKey(text)
	assert.NilError(t, err)
	name := customer + " " + text
	decision, err := inst.resolver.Claim(ctx, Request{Key: key, Customer: customer, Fingerprint: []byte("f")})
	if inst.isDeadAfterPause() {
		return "dead"
	}
	switch {
	case err != nil:
		kind := errkind.Of(err)
		if kind.Row().Outcome == errkind.NotRun && l.runsOf(name) > 0 {
			t.Errorf("key %s: refused as %s although it has run", name, kind)
		}
		return kind.String()
	case decision.Recorded != nil:
		if l.runsOf(name) != 1 || string(decision.Recorded.GetBody()) != name {
			t.Errorf("key %s: wrong recorded response", name)
		}
		return "recorded"
	}
	return l.dispatch(n, inst, decision.Grant, name)
}

// dispatch simulates a granted request that runs or does not run, on a node that
// may die before it reports the outcome.
func (l *runLedger) dispatch(n *network, inst *node, grant *Grant, name string) string {
	time.Sleep(n.delay())
	if n.chance(0.05) {
		time.Sleep(3 * time.Second)
	}
	if n.chance(0.3) {
		_ = grant.NotRun(context.Background())
		return "not run"
	}
	if inst.isDeadAfterPause() {
		return "dead"
	}
	l.run(name)
	time.Sleep(n.delay())
	if inst.isDeadAfterPause() || n.chance(0.03) {
		return "dead"
	}
	if n.chance(0.1) {
		_ = grant.Unknown(context.Background())
		return "unknown"
	}
	_ = grant.Ran(context.Background(), &entrypb.RecordedAnswer{Status: 201, Body: []byte(name)})
	return "ran"
}

// injectFaults kills, pauses, stops and replaces random nodes until the given
// time.
func injectFaults(n *network, period time.Duration, until time.Time) {
	for time.Now().Before(until) {
		time.Sleep(period)
		inst := n.pick()
		switch {
		case n.chance(0.25):
			n.mu.Lock()
			inst.dead = true
			n.mu.Unlock()
			time.Sleep(period / 2)
			n.start(inst.domain, inst.address)
		case n.chance(0.3):
			n.mu.Lock()
			inst.pausedUntil = time.Now().Add(3 * period)
			n.mu.Unlock()
		default:
			leaveAndReplace(n, inst)
		}
	}
}

// leaveAndReplace stops a node gracefully and replaces it.
func leaveAndReplace(n *network, inst *node) {
	n.mu.Lock()
	inst.leaving = true
	n.mu.Unlock()
	if inst.isDeadAfterPause() {
		return
	}
	_ = inst.service.Leave(context.Background())
	time.Sleep(time.Second)
	n.start(inst.domain, inst.address)
}

// runCallers runs callers until the given time. Each sends every key several
// times through random nodes.
func runCallers(t *testing.T, n *network, l *runLedger, count int, until time.Time) {
	var group sync.WaitGroup
	for caller := range count {
		group.Go(func() {
			for i := 0; time.Now().Before(until); i++ {
				home := n.pick().service.HomeName()
				if home == "" {
					time.Sleep(time.Millisecond)
					continue
				}
				text := fmt.Sprintf("%s.%d-%d", home, caller, i)
				customer := []string{"mit", "ulaval"}[caller%2]
				var retries sync.WaitGroup
				for range 5 {
					retries.Go(func() { l.recordResult(l.attempt(t, n.pick(), customer, text)) })
					time.Sleep(n.delay() * 10)
				}
				time.Sleep(time.Duration(n.delay()) * 100)
				l.recordResult(l.attempt(t, n.pick(), customer, text))
				retries.Wait()
			}
		})
	}
	group.Wait()
}

// TestRandomRun drives homes, resolvers and hand-overs over a network that
// loses, delays, reorders and duplicates messages, while nodes die, pause, leave
// and are replaced. It checks that no key runs twice and that no key that has
// run is refused with the outcome not-run.
func TestRandomRun(t *testing.T) {
	for seed := range *seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { randomRun(t, uint64(seed)) })
		})
	}
}

func randomRun(t *testing.T, seed uint64) {
	n := newNetwork(t, seed)
	n.loss = []float64{0, 0.02, 0.1, 0.25}[seed%4]
	n.repeat = n.loss
	n.slotLength = 4 * time.Second
	for i := range 6 {
		n.start(fmt.Sprint("d", i/3), testAddress(i))
	}
	l := &runLedger{runs: map[string]int{}, results: map[string]int{}}
	until := time.Now().Add(60 * time.Second)
	var group sync.WaitGroup
	group.Go(func() { runCallers(t, n, l, 8, until) })
	group.Go(func() { injectFaults(n, time.Second, until) })
	group.Wait()
	time.Sleep(time.Minute)
	for key, runs := range l.runs {
		if runs > 1 {
			t.Errorf("key %s ran %d times", key, runs)
		}
	}
	t.Logf("loss %.2f, keys run %d, results %v", n.loss, len(l.runs), l.results)
}

// TestLeaveKeepsKeys stops every node in turn, without faults, and checks that
// each key that ran before has its recorded response afterwards, from any node,
// and that the key of a home that has left can still be used.
func TestLeaveKeepsKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t, 1)
		n.slotLength = 5 * time.Minute
		for i := range 3 {
			n.start("d0", testAddress(i))
		}
		keys := map[string]string{}
		for i := range 1200 {
			inst := n.nodes[testAddress(i%3)]
			text := fmt.Sprintf("%s.%d", inst.service.HomeName(), i)
			keys[text] = strings.Repeat("x", i)
		}
		for text, body := range keys {
			grant := mustClaim(t, n.pick(), text).Grant
			assert.NilError(t, grant.Ran(context.Background(), &entrypb.RecordedAnswer{Status: 201, Body: []byte(body)}))
		}
		unused := n.nodes[testAddress(0)].service.HomeName() + ".unused"
		for i := range 3 {
			inst := n.nodes[testAddress(i)]
			inst.leaving = true
			assert.NilError(t, inst.service.Leave(context.Background()))
			n.start("d0", testAddress(i))
		}
		for text, body := range keys {
			recorded := mustClaim(t, n.pick(), text).Recorded
			assert.Equal(t, string(recorded.GetBody()), body)
		}
		assert.Assert(t, mustClaim(t, n.pick(), unused).Grant != nil)
		_, err := claimKey(n.pick(), unused)
		assert.Equal(t, errkind.Of(err), errkind.IdempotencyInProgress)
	})
}

func claimKey(inst *node, text string) (Decision, error) {
	key, err := ParseKey(text)
	if err != nil {
		return Decision{}, err
	}
	return inst.resolver.Claim(context.Background(), Request{Key: key, Customer: "mit", Fingerprint: []byte("f")})
}

func mustClaim(t *testing.T, inst *node, text string) Decision {
	t.Helper()
	decision, err := claimKey(inst, text)
	assert.NilError(t, err)
	return decision
}
