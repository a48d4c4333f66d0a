package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"samphireferry.example/ferry/platform/headers"
)

// request describes the requests of a caller.
type request struct {
	method, host, path, key string
	deadline                time.Duration
}

// callers send requests at a rate, to the entry instances in turn, and do not repeat them.
type callers struct {
	system *system
	client *http.Client

	mu      sync.Mutex
	running sync.WaitGroup
	count   int
	// sent is when each request was sent, by id; to is the instance that took it.
	sent map[string]time.Time
	to   map[string]*entry
	// statuses counts the responses; took holds how long each took.
	statuses map[string]int
	took     map[string]time.Duration
}

func newCallers(s *system) *callers {
	transport := &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}
	return &callers{system: s, client: &http.Client{Transport: transport}, sent: map[string]time.Time{}, to: map[string]*entry{}, statuses: map[string]int{}, took: map[string]time.Duration{}}
}

// sendFor sends requests at an even rate for a time.
func (c *callers) sendFor(d time.Duration, perSecond float64, q request) {
	end := time.Now().Add(d)
	ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer ticker.Stop()
	for time.Now().Before(end) {
		c.mu.Lock()
		c.count++
		number := c.count
		c.mu.Unlock()
		entry := c.system.entries[number%len(c.system.entries)]
		c.running.Add(1)
		go func() {
			defer c.running.Done()
			c.send(number, entry, q)
		}()
		<-ticker.C
	}
}

func (c *callers) send(number int, to *entry, q request) {
	id := fmt.Sprintf("%s-%d", q.key, number)
	ctx, cancel := context.WithTimeout(context.Background(), q.deadline+time.Second)
	defer cancel()
	var body io.Reader
	if q.method == http.MethodPost {
		// The transport cannot read it again, so it never sends a request twice.
		body = io.NopCloser(strings.NewReader(id))
	}
	r, err := http.NewRequestWithContext(ctx, q.method, "http://"+to.address+q.path+fmt.Sprint(number), body)
	if err != nil {
		c.system.note("%s cannot be sent: %v", id, err)
		return
	}
	if body != nil {
		r.ContentLength = int64(len(id))
	}
	r.Host = q.host
	r.Header.Set(headers.AttemptID, id)
	r.Header.Set(headers.ObjectKey, fmt.Sprint(number%97))
	r.Header.Set(headers.DeadlineMillis, fmt.Sprint(q.deadline.Milliseconds()))
	if q.key != "" {
		r.Header.Set("Authorization", "Bearer "+q.key)
	}
	c.mu.Lock()
	c.sent[id], c.to[id] = time.Now(), to
	c.mu.Unlock()
	c.system.line("%s sent to %s: %s %s", id, to.name, q.method, r.URL.Path)
	result := c.exchange(r)
	c.system.line("%s answered: %s", id, result)
	c.mu.Lock()
	c.took[id] = time.Since(c.sent[id])
	c.statuses[result]++
	c.mu.Unlock()
}

func (c *callers) exchange(r *http.Request) string {
	response, err := c.client.Do(r)
	if err != nil {
		return "no answer"
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	if err != nil {
		return fmt.Sprintf("%d, cut", response.StatusCode)
	}
	return fmt.Sprint(response.StatusCode)
}

// wait waits for the requests that are running.
func (c *callers) wait() { c.running.Wait() }
