package client

import (
	"cmp"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/goleak"
	"google.golang.org/grpc/test/bufconn"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"samphireferry.example/ferry/errkind"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	goleak.VerifyTestMain(m)
}

const listJSON = `{"ttl_seconds": 5, "home": "h~1", "entry_instances": [{"address": "10.0.0.1:1"}, {"address": "10.0.0.2:1"}]}`

// fakeSystem serves HTTP at two addresses in memory, in a synctest bubble.
type fakeSystem struct {
	listener *bufconn.Listener
	server   *http.Server
	// respond selects the response to a request that the instance has read.
	respond func(instance string, r *http.Request) responder
	// refuseDial reports whether new connections are refused now.
	refuseDial func() bool
	// home replaces the home in the list unless it is empty.
	home string
	// mu guards keys and the state that respond and refuseDial use.
	mu   sync.Mutex
	keys map[string]bool
}

func newFakeSystem() *fakeSystem {
	f := &fakeSystem{listener: bufconn.Listen(1 << 16), keys: map[string]bool{}}
	f.server = &http.Server{Handler: http.HandlerFunc(f.serve)}
	go func() { _ = f.server.Serve(f.listener) }()
	return f
}

func (f *fakeSystem) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == PathEntryInstances {
		f.mu.Lock()
		defer f.mu.Unlock()
		fmt.Fprint(w, strings.Replace(listJSON, "h~1", cmp.Or(f.home, "h~1"), 1))
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	f.choose(strings.TrimSuffix(strings.TrimPrefix(r.Host, "10.0.0."), ":1"), r)(w, r)
}

func (f *fakeSystem) choose(instance string, r *http.Request) responder {
	f.mu.Lock()
	defer f.mu.Unlock()
	if key := r.Header.Get(HeaderKey); key != "" {
		f.keys[key] = true
	}
	return f.respond(instance, r)
}

func (f *fakeSystem) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	f.mu.Lock()
	refused := f.refuseDial != nil && f.refuseDial()
	f.mu.Unlock()
	if refused {
		return nil, &net.OpError{Op: "dial", Err: errors.New("refused")}
	}
	return f.listener.DialContext(ctx)
}

func (f *fakeSystem) client(t rapid.TB) *Client {
	transport := newTransport()
	transport.DialContext = f.dial
	c, err := New(Options{
		Entries:          []string{"http://10.0.0.1:1"},
		Key:              "k",
		HTTPClient:       &http.Client{Transport: transport},
		HeadTimeout:      time.Second,
		MaxResponseBytes: 100,
		Random:           func() float64 { return 0.5 },
	})
	assert.NilError(t, err)
	return c
}

type responder = http.HandlerFunc

func ran(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(HeaderOutcome, string(errkind.Ran))
	fmt.Fprint(w, "done")
}

func refusal(kind errkind.Kind) responder {
	return func(w http.ResponseWriter, _ *http.Request) {
		row := kind.Row()
		header := w.Header()
		header.Set("Content-Type", problemType)
		header.Set(HeaderOutcome, string(row.Outcome))
		header.Set(HeaderRetry, string(row.Retry))
		if row.RetryAfter > 0 {
			header.Set("Retry-After", strconv.Itoa(int(row.RetryAfter.Seconds())))
		}
		w.WriteHeader(row.Status)
		_ = json.NewEncoder(w).Encode(problem{Kind: row.Name})
	}
}

// respondWith responds with the outcome, the stated length and the body, which is
// truncated if it is shorter than the length.
func respondWith(outcome errkind.Outcome, length int, body string) responder {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(HeaderOutcome, string(outcome))
		w.Header().Set("Content-Length", strconv.Itoa(length))
		fmt.Fprint(w, body)
		_ = http.NewResponseController(w).Flush()
		if len(body) < length {
			panic(http.ErrAbortHandler)
		}
	}
}

func redirect(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Location", "/elsewhere")
	w.Header().Set(HeaderOutcome, string(errkind.Ran))
	w.WriteHeader(http.StatusFound)
	fmt.Fprint(w, "done")
}

func drop(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func silent(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

func noLength(w http.ResponseWriter, _ *http.Request) {
	conn, _, _ := http.NewResponseController(w).Hijack()
	fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nFerry-Outcome: ran\r\n\r\ndone")
	_ = conn.Close()
}

// noStatus responds without a final status, once as a response and once as a refusal.
func noStatus(contentType string) responder {
	return func(w http.ResponseWriter, _ *http.Request) {
		conn, _, _ := http.NewResponseController(w).Hijack()
		fmt.Fprintf(conn, "HTTP/1.1 000 None\r\nFerry-Outcome: ran\r\nFerry-Retry: never\r\nContent-Type: %s\r\nContent-Length: 4\r\n\r\ndone", contentType)
		_ = conn.Close()
	}
}

func TestRetryRules(t *testing.T) {
	const post, put, get = http.MethodPost, http.MethodPut, http.MethodGet
	large := respondWith(errkind.Ran, 200, strings.Repeat("x", 200))
	cases := []struct {
		name, method string
		responders   []responder
		// instances are those that the attempts went to.
		instances string
		// kind and outcome are those of the error; an empty kind expects a response.
		kind    string
		outcome errkind.Outcome
		// elapsed is the virtual time of the request in milliseconds.
		elapsed int
	}{
		{"answered", get, []responder{ran}, "1", "", "", 0},
		{"elsewhere immediately, then with back-off", get, []responder{refusal(errkind.Leaving), refusal(errkind.Leaving), ran}, "121", "", "", 75},
		{"later at the same instance", get, []responder{refusal(errkind.RateExceeded), refusal(errkind.NoUpstream), ran}, "111", "", "", 2225},
		{"never", get, []responder{refusal(errkind.KeyUnknown)}, "1", "key_unknown", errkind.NotRun, 0},
		{"redirect", get, []responder{redirect}, "1", "", "", 0},
		{"cut", get, []responder{respondWith(errkind.Ran, 10, "abc"), ran}, "12", "", "", 75},
		{"end not known", get, []responder{noLength, ran}, "12", "", "", 75},
		{"status 000", get, []responder{noStatus("text/plain"), ran}, "12", "", "", 75},
		{"status 000 of a refusal", get, []responder{noStatus(problemType), ran}, "12", "", "", 75},
		{"too large", get, []responder{large}, "1", KindAnswerTooLarge, errkind.Ran, 0},
		{"no head in time", get, []responder{silent, ran}, "12", "", "", 1075},
		{"once, not run", put, []responder{refusal(errkind.Overloaded), ran}, "11", "", "", 1075},
		{"once, may have run", put, []responder{drop}, "1", KindNoAnswer, errkind.Unknown, 0},
		{"at-most-once request answered later", post, []responder{drop, refusal(errkind.IdempotencyInProgress), ran}, "122", "", "", 75 + 1150},
		{"at-most-once request refused after silence", post, []responder{silent, refusal(errkind.KeyWithdrawn), ran}, "122", "", "", 1000 + 75 + 150},
		{"at-most-once request refused", post, []responder{refusal(errkind.KeyWithdrawn)}, "1", "key_withdrawn", errkind.NotRun, 0},
		{"at-most-once request with unknown outcome", post, []responder{drop, refusal(errkind.OutcomeUnknown)}, "12", "outcome_unknown", errkind.Unknown, 75},
		{"at-most-once request whose response is not kept", post, []responder{drop, refusal(errkind.AnswerNotKept)}, "12", "answer_not_kept", errkind.Ran, 75},
		{"at-most-once request that ran with a truncated response", post, []responder{respondWith(errkind.Ran, 10, "abc"), refusal(errkind.IdempotencyHomeGone), refusal(errkind.IdempotencyHomeGone)}, "121", "idempotency_home_gone", errkind.Ran, 75 + 5150},
		{"response without an outcome", post, []responder{respondWith("", 2, "ok"), ran}, "12", "", "", 75},
		{"deadline before the delay is over", post, []responder{refusal(errkind.IdempotencyFull), refusal(errkind.IdempotencyFull)}, "11", "idempotency_full", errkind.NotRun, 5075},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				system := newFakeSystem()
				instances := ""
				system.respond = func(instance string, r *http.Request) responder {
					instances += instance
					left, err := strconv.Atoi(r.Header.Get(HeaderDeadline))
					assert.Check(t, err == nil && left > 0 && left <= int(DefaultTimeout.Milliseconds()))
					assert.Check(t, r.Header.Get("Authorization") == "Bearer k")
					return c.responders[len(instances)-1]
				}
				client := system.client(t)
				start := time.Now()
				request := Request{Method: c.method, Path: "/x", Body: []byte("vote"), Once: true}
				send := client.Do
				if c.method == post {
					send = func(ctx context.Context, r Request) (*Response, error) { return client.Submit(ctx, "", r) }
				}
				response, err := send(t.Context(), request)
				elapsed := time.Since(start)
				client.Close()
				_ = system.server.Close()
				assert.Equal(t, len(system.keys) == 1, c.method == post, "one key for all attempts")
				assert.Equal(t, instances, c.instances)
				assert.Equal(t, int(elapsed.Milliseconds()), c.elapsed)
				if c.kind == "" {
					assert.NilError(t, err)
					assert.Equal(t, string(response.Body), "done")
					return
				}
				var failure *Error
				assert.Assert(t, errors.As(err, &failure), "%v", err)
				assert.Equal(t, failure.Kind, c.kind)
				assert.Equal(t, failure.Outcome, c.outcome)
				assert.Equal(t, failure.Key != "", c.method == post)
			})
		})
	}
}

// TestNewKeyAfterHomeIsGone submits under a key whose home is gone. A new key may
// be generated only if no attempt can have run.
func TestNewKeyAfterHomeIsGone(t *testing.T) {
	cases := map[string]struct {
		key        string
		responders []responder
		keys       int
		ok         bool
	}{
		"first attempt":               {"", []responder{refusal(errkind.IdempotencyHomeGone), ran}, 2, true},
		"after attempts not sent":     {"", []responder{refusal(errkind.Leaving), refusal(errkind.IdempotencyHomeGone), ran}, 2, true},
		"after one that may have run": {"", []responder{drop, refusal(errkind.IdempotencyHomeGone)}, 1, false},
		"key of the caller":           {"h~1.own", []responder{refusal(errkind.IdempotencyHomeGone)}, 1, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				system := newFakeSystem()
				attempts := 0
				system.respond = func(string, *http.Request) responder {
					system.home = "h~2"
					attempts++
					return c.responders[min(attempts, len(c.responders))-1]
				}
				client := system.client(t)
				_, err := client.Submit(t.Context(), c.key, Request{Method: http.MethodPost, Path: "/x", Body: []byte("vote")})
				client.Close()
				_ = system.server.Close()
				assert.Equal(t, len(system.keys), c.keys)
				assert.Equal(t, err == nil, c.ok)
				var failure *Error
				if errors.As(err, &failure) {
					assert.Equal(t, failure.Outcome, errkind.Unknown)
				}
			})
		})
	}
}

// TestStatedOutcomeMatchesExecution sends requests to instances that fail at
// random. The fake runs a request at most once per key, as entry instances do, and
// the outcome that the client states must agree with whether the request ran.
func TestStatedOutcomeMatchesExecution(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(struct{ rapid.TB }{t}, func(t *rapid.T) {
			system := newFakeSystem()
			defer func() { _ = system.server.Close() }()
			executed, submitting := 0, false
			choices := rapid.SliceOfN(rapid.IntRange(0, 59), 60, 60).Draw(t, "choices")
			choose := func(n int) int {
				choice := choices[0]
				choices = append(choices[1:], choice)
				return choice % n
			}
			system.refuseDial = func() bool { return submitting && choose(2) == 1 }
			uncertain := []responder{ran, drop, silent, respondWith(errkind.Ran, 10, "abc"), refusal(errkind.UpstreamFailed)}
			notRun := []responder{refusal(errkind.Leaving), refusal(errkind.Overloaded), refusal(errkind.KeyUnknown)}
			repeats := append([]responder{refusal(errkind.OutcomeUnknown), refusal(errkind.AnswerNotKept), refusal(errkind.IdempotencyInProgress)}, uncertain...)
			system.respond = func(string, *http.Request) responder {
				switch {
				case !submitting:
					return ran
				case choose(2) == 1:
					return notRun[choose(len(notRun))]
				case executed > 0:
					return repeats[choose(len(repeats))]
				default:
					executed++
					return uncertain[choose(len(uncertain))]
				}
			}
			client := system.client(t)
			defer client.Close()
			// A first request leaves an idle connection that the at-most-once request reuses.
			_, err := client.Do(context.Background(), Request{Path: "/x"})
			assert.NilError(t, err)
			submitting = true
			_, err = client.Submit(context.Background(), "", Request{Method: http.MethodPost, Path: "/x"})
			system.mu.Lock()
			defer system.mu.Unlock()
			assert.Assert(t, len(system.keys) <= 1, "one key for all attempts")
			var failure *Error
			switch {
			case err == nil:
				assert.Equal(t, executed, 1)
			case !errors.As(err, &failure):
				t.Fatalf("not an Error: %v", err)
			case failure.Outcome == errkind.NotRun:
				assert.Equal(t, executed, 0, "%v", err)
			case failure.Outcome == errkind.Ran:
				assert.Equal(t, executed, 1, "%v", err)
			}
		})
	})
}
