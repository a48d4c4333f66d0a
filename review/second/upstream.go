package main

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"samphireferry.example/ferry/platform/headers"
)

// upstream is a server of a service. It runs as many requests at once as it has slots; others wait.
type upstream struct {
	system              *system
	id, service, domain string
	address             string
	slots               int
	work                time.Duration
	// size is the length of its responses in bytes; 0 responds with the id, path and body.
	size int
	// spoil returns whether bytes follow the response to a request; nil for none.
	spoil  func() bool
	born   time.Time
	free   chan struct{}
	server *httptest.Server

	mu sync.Mutex
	// ended holds the requests that have run to their end.
	ended map[string]bool
}

// serve runs a request and responds with its id, path and body.
func (u *upstream) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(headers.AttemptID)
	w.Header().Set(headers.AttemptID, id)
	if expected := r.Header.Get(headers.ExpectInstance); expected != "" && expected != u.id {
		w.Header().Set(headers.NotRun, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		// The body is incomplete; the request does not run.
		return
	}
	customer := r.Header.Get(headers.Customer)
	u.system.line("%s arrives at %s of customer %s", id, u.id, customer)
	select {
	case u.free <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-u.free }()
	select {
	case <-time.After(u.work):
	case <-r.Context().Done():
		return
	}
	u.mu.Lock()
	u.ended[id] = true
	u.mu.Unlock()
	u.system.line("%s has run at %s", id, u.id)
	w.Header().Set(u.system.Stamp, u.id+"."+id)
	if u.spoil != nil && u.spoil() {
		u.answerTwice(w, id)
		return
	}
	if u.size > 0 {
		_, _ = w.Write(bodyOf(id, u.size))
		return
	}
	_, _ = fmt.Fprintf(w, "%s %s %s", id, r.URL.Path, body)
}

// answerTwice sends a complete response, and the same once more a little later.
func (u *upstream) answerTwice(w http.ResponseWriter, id string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		u.system.note("%s cannot answer twice: %v", u.id, err)
		return
	}
	defer conn.Close()
	text := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s.%s\r\nContent-Length: %d\r\n\r\n%s",
		headers.AttemptID, id, u.system.Stamp, u.id, id, u.size, bodyOf(id, u.size))
	_, _ = conn.Write([]byte(text))
	time.Sleep(spoilDelay)
	_, _ = conn.Write([]byte(text))
	u.system.line("%s answered once more by %s", id, u.id)
	// The caller closes the connection.
	_ = conn.SetReadDeadline(time.Now().Add(time.Second))
	_, _ = conn.Read(make([]byte, 1))
}

// spoilDelay is the time between a response and the bytes that follow it.
const spoilDelay = 5 * time.Millisecond

// bodyOf returns the body of n bytes for the request with the id.
func bodyOf(id string, n int) []byte {
	return []byte(strings.Repeat(id+" ", n/(len(id)+1)+1))[:n]
}

// hasRun reports whether the request has run to its end here.
func (u *upstream) hasRun(id string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.ended[id]
}
