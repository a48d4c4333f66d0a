package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	standinupstream "samphireferry.example/ferry/standin/upstream"
)

const (
	// callTimeout limits one request of a caller.
	callTimeout = 12 * time.Second
	// retryDelay is the time before a caller tries again.
	retryDelay = 100 * time.Millisecond
	// maxConcurrentCalls limits the concurrent reads of one customer.
	maxConcurrentCalls = 64
	// streamBytes and streamDuration are the size and duration of one stream.
	streamBytes    = 4000
	streamDuration = 1500 * time.Millisecond
	readBytes      = 3000
	// filingWorkers is the number of callers that send filings. Each repeats a
	// filing until its outcome is final.
	filingWorkers = 6
	// streamWorkers is the number of callers that read streams.
	streamWorkers = 4
)

// Request paths of the callers. Upstream faults apply to reads and filings, not to
// streams.
const (
	pathRead   = "/dossiers/read"
	pathStream = "/dossiers/stream"
	pathFiling = "/filings"
)

// faultPathPrefixes maps each service to the paths to which its faults apply.
var faultPathPrefixes = map[string]string{serviceLookup: pathRead, serviceLedger: pathFiling, serviceArchive: "/archive"}

// call is one request of a caller and its result.
type call struct {
	customer, key string
	sent, ended   time.Time
	status        int
	outcome       string
	retryAdvice   string
	// errorKind is the error kind of a refusal, or empty.
	errorKind string
	replayed  bool
	// truncated is set when the response began and was not received completely.
	truncated bool
	body      string
}

// served reports whether the request ran and counts against the rate of its
// customer, which a replayed response does not.
func (c *call) served() bool { return c.outcome == "ran" && !c.replayed }

// request describes a request of a caller.
type request struct {
	method, path, query string
	customer, key       string
	idempotencyKey      string
	// leakKey also puts the key into the query, a cookie and another header.
	leakKey bool
}

// send sends a request, records its result and checks the response.
func (r *trial) send(client *http.Client, address string, q request) call {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	target := "http://" + address + q.path + "?" + q.query
	if q.leakKey {
		target += "&k=" + q.key
	}
	out, err := http.NewRequestWithContext(ctx, q.method, target, http.NoBody)
	if err != nil {
		r.reporter.Errorf("%v", err)
		return call{}
	}
	if q.method == http.MethodPost {
		// Without GetBody the HTTP client does not resend the request on its own.
		out.Body, out.ContentLength = io.NopCloser(strings.NewReader("vote")), 4
		out.GetBody = nil
		out.Header.Set("Idempotency-Key", q.idempotencyKey)
	}
	out.Header.Set("Authorization", "Bearer "+q.key)
	if q.leakKey {
		out.Header.Set("Cookie", "session="+q.key)
		out.Header.Set("X-Own", q.key)
	}
	c := call{customer: q.customer, key: q.key, sent: time.Now()}
	response, err := client.Do(out)
	if err != nil {
		c.ended = time.Now()
		return c
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	c.ended = time.Now()
	c.status, c.truncated, c.body = response.StatusCode, err != nil, string(body)
	c.outcome = response.Header.Get("Ferry-Outcome")
	c.retryAdvice = response.Header.Get("Ferry-Retry")
	if c.retryAdvice != "" {
		c.errorKind = kindOf(body)
	}
	c.replayed = response.Header.Get("Ferry-Replayed") != ""
	r.ledger.add(c)
	r.checkComplete(q, c)
	return c
}

// kindOf returns the error kind in the body of a refusal.
func kindOf(body []byte) string {
	var problem struct {
		Kind string `json:"kind"`
	}
	_ = json.Unmarshal(body, &problem)
	return problem.Kind
}

// checkComplete checks that the body of a complete response belongs to the request.
func (r *trial) checkComplete(q request, c call) {
	if c.truncated || c.status != http.StatusOK || q.leakKey {
		return
	}
	size := 64
	if strings.HasPrefix(q.query, "bytes=") {
		_, _ = fmt.Sscanf(q.query, "bytes=%d", &size)
	}
	if c.body != string(standinupstream.Body(q.path, q.query, size)) {
		r.reporter.Errorf("%s?%s: mismatched or partial response of %d bytes: %.100q", q.path, q.query, len(c.body), c.body)
	}
}

// startCallers starts the callers of all customers. They stop when the context ends.
func (r *trial) startCallers(ctx context.Context, seed uint64) *sync.WaitGroup {
	running := &sync.WaitGroup{}
	for i, c := range trialCustomers {
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		client := r.newClient()
		running.Go(func() { r.sendReads(ctx, client, c, random) })
	}
	for i := range filingWorkers {
		random := rand.New(rand.NewPCG(seed, uint64(100+i)))
		client := r.newClient()
		running.Go(func() { r.sendFilings(ctx, client, i, random) })
	}
	for i := range streamWorkers {
		random := rand.New(rand.NewPCG(seed, uint64(200+i)))
		client := r.newClient()
		running.Go(func() { r.sendStreams(ctx, client, i, random) })
	}
	return running
}

// sendReads sends the reads of a customer at a constant rate to random entry
// instances. It skips a read while maxConcurrentCalls are in flight.
func (r *trial) sendReads(ctx context.Context, client *http.Client, c trialCustomer, random *rand.Rand) {
	var running sync.WaitGroup
	defer running.Wait()
	inFlight := make(chan struct{}, maxConcurrentCalls)
	ticker := time.NewTicker(time.Duration(float64(time.Second) / c.requestRate))
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		q := newRead(c, i, random)
		addresses := r.callerAddresses()
		first, second := random.IntN(len(addresses)), random.IntN(len(addresses))
		select {
		case inFlight <- struct{}{}:
		default:
			continue
		}
		running.Go(func() {
			defer func() { <-inFlight }()
			response := r.send(client, addresses[first], q)
			if response.status == 0 || response.retryAdvice == "elsewhere" {
				r.send(client, addresses[second], q)
			}
		})
	}
}

// newRead returns read i of a customer. Each fifth goes to the archive, and each
// tenth leaks its key.
func newRead(c trialCustomer, i int, random *rand.Rand) request {
	q := request{method: http.MethodGet, customer: c.name, key: c.keys[random.IntN(len(c.keys))]}
	q.path = fmt.Sprintf("%s/%s-%d", pathRead, c.name, i)
	q.query = fmt.Sprintf("bytes=%d", readBytes)
	if i%5 == 4 {
		q.path = fmt.Sprintf("/archive/%s-%d", c.name, i)
	}
	q.leakKey = i%10 == 0
	return q
}

// sendStreams requests streamed responses, one after the other.
func (r *trial) sendStreams(ctx context.Context, client *http.Client, worker int, random *rand.Rand) {
	for i := 0; ctx.Err() == nil; i++ {
		addresses := r.callerAddresses()
		c := r.send(client, addresses[random.IntN(len(addresses))], request{
			method: http.MethodGet, customer: "laurier", key: KeyHighRate,
			path:  fmt.Sprintf("%s/%d-%d", pathStream, worker, i),
			query: fmt.Sprintf("bytes=%d&stream_ms=%d", streamBytes, streamDuration.Milliseconds()),
		})
		if c.status == 0 || c.status >= http.StatusInternalServerError {
			time.Sleep(retryDelay)
		}
		r.ledger.addStream(c)
	}
}

// sendFilings sends filings one after the other, and repeats each with its
// idempotency key until the outcome is final or the context ends.
func (r *trial) sendFilings(ctx context.Context, client *http.Client, worker int, random *rand.Rand) {
	for i := 0; ctx.Err() == nil; i++ {
		addresses := r.callerAddresses()
		home, ok := r.fetchHome(client, addresses[random.IntN(len(addresses))])
		if !ok {
			time.Sleep(retryDelay)
			continue
		}
		q := newFiling(fmt.Sprintf("%s.%d-%d", home, worker, i), trialCustomers[i%2])
		for ctx.Err() == nil && !r.attemptFiling(client, q, random) {
			time.Sleep(retryDelay)
		}
	}
}

func newFiling(idempotencyKey string, c trialCustomer) request {
	_, unique, _ := strings.Cut(idempotencyKey, ".")
	return request{
		method: http.MethodPost, path: pathFiling + "/" + unique, customer: c.name, key: c.keys[0],
		idempotencyKey: idempotencyKey,
	}
}

// attemptFiling makes one attempt of a filing and reports whether its outcome is
// final.
func (r *trial) attemptFiling(client *http.Client, q request, random *rand.Rand) bool {
	addresses := r.callerAddresses()
	r.ledger.recordFiling(q)
	c := r.send(client, addresses[random.IntN(len(addresses))], q)
	return r.ledger.recordFilingResponse(q, c)
}

// fetchHome requests the home of new idempotency keys from an entry instance.
func (r *trial) fetchHome(client *http.Client, address string) (string, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	out, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/entry-instances", nil)
	if err != nil {
		return "", false
	}
	response, err := client.Do(out)
	if err != nil {
		return "", false
	}
	defer response.Body.Close()
	var list struct {
		Home string `json:"home"`
	}
	err = json.NewDecoder(response.Body).Decode(&list)
	return list.Home, err == nil && list.Home != ""
}

// filingState is the state of one filing as its caller sees it.
type filingState struct {
	request request
	// notRun is set while every response had the outcome not-run.
	notRun bool
	// ran is set when a response had the outcome ran.
	ran bool
	// final is set when no further attempt is needed.
	final bool
	last  call
}

// callerLedger records the calls of all callers. It is safe for concurrent use.
type callerLedger struct {
	mu      sync.Mutex
	calls   []call
	streams []call
	filings map[string]*filingState
}

func newCallerLedger() *callerLedger { return &callerLedger{filings: map[string]*filingState{}} }

func (l *callerLedger) add(c call) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.body = ""
	l.calls = append(l.calls, c)
}

func (l *callerLedger) addStream(c call) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.streams = append(l.streams, c)
}

// recordFiling records that a filing is about to be sent.
func (l *callerLedger) recordFiling(q request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.filings[q.idempotencyKey] == nil {
		l.filings[q.idempotencyKey] = &filingState{request: q, notRun: true}
	}
}

// recordFilingResponse records the result of an attempt and reports whether the
// outcome of the filing is final.
func (l *callerLedger) recordFilingResponse(q request, c call) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	state := l.filings[q.idempotencyKey]
	state.last = c
	state.notRun = state.notRun && c.outcome == "not-run" && !c.truncated
	state.ran = state.ran || c.outcome == "ran"
	state.final = state.ran && !c.truncated || c.retryAdvice == "never"
	return state.final
}

// openFilings returns the filings whose outcome is not final.
func (l *callerLedger) openFilings() []request {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []request
	for _, state := range l.filings {
		if !state.final {
			all = append(all, state.request)
		}
	}
	return all
}
