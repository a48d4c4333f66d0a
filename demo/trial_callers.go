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
	// callTimeout bounds one request of a caller.
	callTimeout = 12 * time.Second
	// repeatPause is the pause before a filing is repeated.
	repeatPause = 100 * time.Millisecond
	// maxCalls bounds the requests of one customer that run at once.
	maxCalls    = 64
	streamBytes = 4000
	streamTime  = 1500 * time.Millisecond
	readBytes   = 3000
	// filers file; each repeats a filing until its outcome is final.
	filers        = 6
	streamReaders = 4
)

// The paths of reads that upstream faults strike. Streams are spared.
const (
	pathRead   = "/dossiers/read"
	pathStream = "/dossiers/stream"
	pathFiling = "/filings"
)

var faultyPrefixes = map[string]string{serviceLookup: pathRead, serviceLedger: pathFiling, serviceArchive: "/archive"}

// call is one request of a caller and what it learnt.
type call struct {
	customer, key string
	sent, ended   time.Time
	status        int
	outcome       string
	retry         string
	// kind is the error kind of a refusal, or empty.
	kind     string
	replayed bool
	// cut is set when the answer began and did not come whole.
	cut  bool
	body string
}

// served says whether the request passed the rate of its customer.
func (c *call) served() bool { return c.outcome == "ran" && !c.replayed }

// request is what a caller sends.
type request struct {
	method, path, query string
	customer, key       string
	idempotencyKey      string
	// leak puts the key into other places as well.
	leak bool
}

func (r *trial) send(client *http.Client, address string, q request) call {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	target := "http://" + address + q.path + "?" + q.query
	if q.leak {
		target += "&k=" + q.key
	}
	out, err := http.NewRequestWithContext(ctx, q.method, target, http.NoBody)
	if err != nil {
		r.report.Errorf("%v", err)
		return call{}
	}
	if q.method == http.MethodPost {
		// Without GetBody the client does not repeat the request by itself.
		out.Body, out.ContentLength = io.NopCloser(strings.NewReader("vote")), 4
		out.GetBody = nil
		out.Header.Set("Idempotency-Key", q.idempotencyKey)
	}
	out.Header.Set("Authorization", "Bearer "+q.key)
	if q.leak {
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
	c.status, c.cut, c.body = response.StatusCode, err != nil, string(body)
	c.outcome = response.Header.Get("Ferry-Outcome")
	c.retry = response.Header.Get("Ferry-Retry")
	if c.retry != "" {
		c.kind = kindOf(body)
	}
	c.replayed = response.Header.Get("Ferry-Replayed") != ""
	r.ledger.add(c)
	r.checkWhole(q, c)
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

// checkWhole checks that an answer given as whole is that to the request.
func (r *trial) checkWhole(q request, c call) {
	if c.cut || c.status != http.StatusOK || q.leak {
		return
	}
	size := 64
	if strings.HasPrefix(q.query, "bytes=") {
		_, _ = fmt.Sscanf(q.query, "bytes=%d", &size)
	}
	if c.body != string(standinupstream.Body(q.path, q.query, size)) {
		r.report.Errorf("%s?%s: foreign or partial answer of %d bytes: %.100q", q.path, q.query, len(c.body), c.body)
	}
}

// startCallers starts the callers of all customers. They end with the context.
func (r *trial) startCallers(ctx context.Context, seed uint64) *sync.WaitGroup {
	running := &sync.WaitGroup{}
	for i, c := range randomCustomers {
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		client := r.newClient()
		running.Go(func() { r.read(ctx, client, c, random) })
	}
	for i := range filers {
		random := rand.New(rand.NewPCG(seed, uint64(100+i)))
		client := r.newClient()
		running.Go(func() { r.fileUntil(ctx, client, i, random) })
	}
	for i := range streamReaders {
		random := rand.New(rand.NewPCG(seed, uint64(200+i)))
		client := r.newClient()
		running.Go(func() { r.stream(ctx, client, i, random) })
	}
	return running
}

// read sends the reads of a customer, evenly in time, to random entry instances.
func (r *trial) read(ctx context.Context, client *http.Client, c randomCustomer, random *rand.Rand) {
	var running sync.WaitGroup
	defer running.Wait()
	room := make(chan struct{}, maxCalls)
	ticker := time.NewTicker(time.Duration(float64(time.Second) / c.sent))
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		q := readOf(c, i, random)
		addresses := r.addresses()
		first, second := random.IntN(len(addresses)), random.IntN(len(addresses))
		select {
		case room <- struct{}{}:
		default:
			continue
		}
		running.Go(func() {
			defer func() { <-room }()
			answer := r.send(client, addresses[first], q)
			if answer.status == 0 || answer.retry == "elsewhere" {
				r.send(client, addresses[second], q)
			}
		})
	}
}

func readOf(c randomCustomer, i int, random *rand.Rand) request {
	q := request{method: http.MethodGet, customer: c.name, key: c.keys[random.IntN(len(c.keys))]}
	q.path = fmt.Sprintf("%s/%s-%d", pathRead, c.name, i)
	q.query = fmt.Sprintf("bytes=%d", readBytes)
	if i%5 == 4 {
		q.path = fmt.Sprintf("/archive/%s-%d", c.name, i)
	}
	q.leak = i%10 == 0
	return q
}

// stream reads long answers, one after the other.
func (r *trial) stream(ctx context.Context, client *http.Client, worker int, random *rand.Rand) {
	for i := 0; ctx.Err() == nil; i++ {
		addresses := r.addresses()
		c := r.send(client, addresses[random.IntN(len(addresses))], request{
			method: http.MethodGet, customer: "laurier", key: KeyLarge,
			path:  fmt.Sprintf("%s/%d-%d", pathStream, worker, i),
			query: fmt.Sprintf("bytes=%d&stream_ms=%d", streamBytes, streamTime.Milliseconds()),
		})
		if c.status == 0 || c.status >= http.StatusInternalServerError {
			time.Sleep(repeatPause)
		}
		r.ledger.streamed(c)
	}
}

// fileUntil files, and repeats each filing with its key until the outcome is
// final or the context ends.
func (r *trial) fileUntil(ctx context.Context, client *http.Client, worker int, random *rand.Rand) {
	for i := 0; ctx.Err() == nil; i++ {
		addresses := r.addresses()
		home, ok := r.homeFrom(client, addresses[random.IntN(len(addresses))])
		if !ok {
			time.Sleep(repeatPause)
			continue
		}
		q := filingOf(fmt.Sprintf("%s.%d-%d", home, worker, i), randomCustomers[i%2])
		for ctx.Err() == nil && !r.fileOnce(client, q, random) {
			time.Sleep(repeatPause)
		}
	}
}

func filingOf(idempotencyKey string, c randomCustomer) request {
	_, unique, _ := strings.Cut(idempotencyKey, ".")
	return request{
		method: http.MethodPost, path: pathFiling + "/" + unique, customer: c.name, key: c.keys[0],
		idempotencyKey: idempotencyKey,
	}
}

// fileOnce makes one attempt of a filing and says whether its outcome is final.
func (r *trial) fileOnce(client *http.Client, q request, random *rand.Rand) bool {
	addresses := r.addresses()
	r.ledger.filing(q)
	c := r.send(client, addresses[random.IntN(len(addresses))], q)
	return r.ledger.filed(q, c)
}

// homeFrom asks an entry instance for the home of new idempotency keys.
func (r *trial) homeFrom(client *http.Client, address string) (string, bool) {
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

// filingState is what the callers know of one filing.
type filingState struct {
	request request
	// notRun is set while every answer said not-run.
	notRun bool
	ran    bool
	final  bool
	last   call
}

// callerLedger is what all callers have learnt. It is safe for concurrent use.
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

func (l *callerLedger) streamed(c call) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.streams = append(l.streams, c)
}

// filing notes that a filing is about to be sent.
func (l *callerLedger) filing(q request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.filings[q.idempotencyKey] == nil {
		l.filings[q.idempotencyKey] = &filingState{request: q, notRun: true}
	}
}

// filed notes the answer to an attempt and says whether it is final.
func (l *callerLedger) filed(q request, c call) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	state := l.filings[q.idempotencyKey]
	state.last = c
	state.notRun = state.notRun && c.outcome == "not-run" && !c.cut
	state.ran = state.ran || c.outcome == "ran"
	state.final = state.ran && !c.cut || c.retry == "never"
	return state.final
}

// open returns the filings whose outcome is not final.
func (l *callerLedger) open() []request {
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
