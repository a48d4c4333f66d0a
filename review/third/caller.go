package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"samphireferry.example/ferry/platform/headers"
	"samphireferry.example/ferry/standin/records"
)

const (
	host     = "review.example"
	apiKey   = "review-key"
	customer = "acme"
	// read is the service of the idempotent route, file that of the other; the routes have the same
	// names.
	read = "read"
	file = "file"
	// routeTimeout is the timeout of both routes, callerDeadline the time that callers wait.
	routeTimeout   = 2 * time.Second
	callerDeadline = 3 * time.Second
)

// configuration returns a version of the configuration.
func configuration(version uint64) records.Configuration {
	return records.Configuration{
		Version: version,
		Routes: []records.Route{
			{Name: read, Host: host, Prefix: "/" + read + "/", Service: read, Timeout: routeTimeout, Attempts: 2},
			{Name: file, Host: host, Prefix: "/" + file + "/", Service: file, Timeout: routeTimeout, Attempts: 2, AtMostOnce: true},
		},
		Services:  []string{read, file},
		Customers: []records.Customer{{Name: customer, Keys: []string{apiKey}, Rate: 10_000, Burst: 10_000}},
	}
}

// callers sends requests at a steady pace and counts the answers.
type callers struct {
	record *record
	client *http.Client

	mu      sync.Mutex
	answers map[string]int
	sent    int
}

func newCallers(r *record) *callers {
	return &callers{record: r, client: &http.Client{Timeout: callerDeadline}, answers: map[string]int{}}
}

// run sends a request to each address in turn until the context ends, from several callers at once.
func (c *callers) run(ctx context.Context, number int, pause time.Duration, addresses []string) {
	var all sync.WaitGroup
	for n := range number {
		all.Go(func() {
			for turn := 0; ctx.Err() == nil; turn++ {
				c.send(fmt.Sprintf("c%d-%d", n, turn), addresses[(n+turn)%len(addresses)], turn%2 == 0)
				time.Sleep(pause)
			}
		})
	}
	all.Wait()
}

// send sends one request and returns the status, 0 if there is no answer.
func (c *callers) send(id, address string, filing bool) int {
	method, service := http.MethodGet, read
	var body io.Reader
	if filing {
		method, service, body = http.MethodPost, file, strings.NewReader("filing "+id)
	}
	r, err := http.NewRequest(method, "http://"+address+"/"+service+"/"+id, body)
	if err != nil {
		return 0
	}
	r.Host = host
	r.Header.Set(headers.AttemptID, id)
	r.Header.Set(headers.ObjectKey, id)
	r.Header.Set(headers.DeadlineMillis, strconv.FormatInt(callerDeadline.Milliseconds(), 10))
	r.Header.Set("Authorization", "Bearer "+apiKey)
	c.record.note("sent %s %s /%s/%s to %s", id, method, service, id, address)
	status, answer := 0, "none"
	response, err := c.client.Do(r)
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		status, answer = response.StatusCode, strconv.Itoa(response.StatusCode)
	}
	if err != nil {
		status, answer = 0, "none"
	}
	c.record.note("answered %s %s", id, answer)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent++
	c.answers[service+" "+answer]++
	return status
}

// sumAnswers adds the counts of the answers to the record.
func (c *callers) sumAnswers() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.record.sum("%d requests sent, answers by service and status: %v", c.sent, c.answers)
}
