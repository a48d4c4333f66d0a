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

// ledger counts the runs of each key, as upstreams would see them.
type ledger struct {
	mu   sync.Mutex
	runs map[string]int
	// results counts what callers were told.
	results map[string]int
}

func (l *ledger) run(key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[key]++
}

func (l *ledger) runsOf(key string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[key]
}

func (l *ledger) told(result string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.results[result]++
}

// attempt sends one request with the key to an instance and plays its upstream.
// It returns what the caller is told.
func (l *ledger) attempt(t *testing.T, x *node, customer, text string) string {
	n := x.network
	if x.gone() {
		return "dead"
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	key, err := ParseKey(text)
	assert.NilError(t, err)
	name := customer + " " + text
	decision, err := x.resolver.Claim(ctx, Request{Key: key, Customer: customer, Fingerprint: []byte("f")})
	if x.gone() {
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
			t.Errorf("key %s: wrong recorded answer", name)
		}
		return "recorded"
	}
	return l.dispatch(n, x, decision.Grant, name)
}

// dispatch runs a granted request, or not, and may die before it reports.
func (l *ledger) dispatch(n *network, x *node, grant *Grant, name string) string {
	time.Sleep(n.delay())
	if n.chance(0.05) {
		time.Sleep(3 * time.Second)
	}
	if n.chance(0.3) {
		_ = grant.NotRun(context.Background())
		return "not run"
	}
	if x.gone() {
		return "dead"
	}
	l.run(name)
	time.Sleep(n.delay())
	if x.gone() || n.chance(0.03) {
		return "dead"
	}
	if n.chance(0.1) {
		_ = grant.Unknown(context.Background())
		return "unknown"
	}
	_ = grant.Ran(context.Background(), &entrypb.RecordedAnswer{Status: 201, Body: []byte(name)})
	return "ran"
}

// disturb kills, pauses, stops and replaces nodes until the time is over.
func disturb(n *network, period time.Duration, until time.Time) {
	for time.Now().Before(until) {
		time.Sleep(period)
		x := n.pick()
		switch {
		case n.chance(0.25):
			n.mu.Lock()
			x.dead = true
			n.mu.Unlock()
			time.Sleep(period / 2)
			n.start(x.domain, x.address)
		case n.chance(0.3):
			n.mu.Lock()
			x.pausedUntil = time.Now().Add(3 * period)
			n.mu.Unlock()
		default:
			leave(n, x)
		}
	}
}

// leave stops a node as planned and replaces it.
func leave(n *network, x *node) {
	n.mu.Lock()
	x.leaving = true
	n.mu.Unlock()
	if x.gone() {
		return
	}
	_ = x.service.Leave(context.Background())
	time.Sleep(time.Second)
	n.start(x.domain, x.address)
}

// callers send requests with few keys, each several times through any node.
func callers(t *testing.T, n *network, l *ledger, count int, until time.Time) {
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
					retries.Go(func() { l.told(l.attempt(t, n.pick(), customer, text)) })
					time.Sleep(n.delay() * 10)
				}
				time.Sleep(time.Duration(n.delay()) * 100)
				l.told(l.attempt(t, n.pick(), customer, text))
				retries.Wait()
			}
		})
	}
	group.Wait()
}

// TestRandomRun drives homes, resolvers and hand-overs over a network that
// loses, delays, reorders and doubles messages, while nodes die, pause, leave
// and are replaced. No key may run twice, and no refusal may say that a key has
// not run when it has.
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
	l := &ledger{runs: map[string]int{}, results: map[string]int{}}
	until := time.Now().Add(60 * time.Second)
	var group sync.WaitGroup
	group.Go(func() { callers(t, n, l, 8, until) })
	group.Go(func() { disturb(n, time.Second, until) })
	group.Wait()
	time.Sleep(time.Minute)
	for key, runs := range l.runs {
		if runs > 1 {
			t.Errorf("key %s ran %d times", key, runs)
		}
	}
	t.Logf("loss %.2f, keys run %d, callers were told %v", n.loss, len(l.runs), l.results)
}

// TestLeaveKeepsKeys stops every node in turn, without faults, and expects that
// each key that ran before has its recorded answer afterwards, from any node,
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
			x := n.nodes[testAddress(i%3)]
			text := fmt.Sprintf("%s.%d", x.service.HomeName(), i)
			keys[text] = strings.Repeat("x", i)
		}
		for text, body := range keys {
			grant := mustClaim(t, n.pick(), text).Grant
			assert.NilError(t, grant.Ran(context.Background(), &entrypb.RecordedAnswer{Status: 201, Body: []byte(body)}))
		}
		unused := n.nodes[testAddress(0)].service.HomeName() + ".unused"
		for i := range 3 {
			x := n.nodes[testAddress(i)]
			x.leaving = true
			assert.NilError(t, x.service.Leave(context.Background()))
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

func claimKey(x *node, text string) (Decision, error) {
	key, err := ParseKey(text)
	if err != nil {
		return Decision{}, err
	}
	return x.resolver.Claim(context.Background(), Request{Key: key, Customer: "mit", Fingerprint: []byte("f")})
}

func mustClaim(t *testing.T, x *node, text string) Decision {
	t.Helper()
	decision, err := claimKey(x, text)
	assert.NilError(t, err)
	return decision
}
