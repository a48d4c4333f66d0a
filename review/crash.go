package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"samphireferry.example/ferry/platform/headers"
)

// A caller's uplink carries uplinkBytes in each uplinkInterval, 60 KB/s.
const (
	uplinkBytes    = 6_000
	uplinkInterval = 100 * time.Millisecond
)

// crash lets one upstream crash while callers send long requests to it over slow uplinks, and
// checks that they are answered by the timeout of their route.
func crash(o options) (bool, error) {
	const (
		upstreams  = 7
		objects    = 60
		longs      = 12
		length     = 310_000
		timeout    = 1200 * time.Millisecond
		slack      = 500 * time.Millisecond
		deadline   = 4 * time.Second
		crashAfter = time.Second
		ratePerS   = 142
		leastLate  = 8
	)
	l := &ledger{record: o.record}
	s, err := newSmallSystem(o, 1, upstreams, 9, 20*time.Millisecond, timeout, ratePerS, l)
	if err != nil {
		return false, err
	}
	defer s.close()
	// The long requests concern objects that one upstream serves.
	objectsOf := map[string][]int{}
	victim := ""
	for object := range objects {
		got := send(s.edges[0].Listen, requestHead("POST", "/post/2f", fmt.Sprintf("s-%d", object), deadline, "Content-Length: 0", fmt.Sprintf("%s: %d", headers.ObjectKey, object)), deadline)
		if got.status != http.StatusOK {
			continue
		}
		id := got.header.Get(headers.Instance)
		objectsOf[id] = append(objectsOf[id], object)
		if len(objectsOf[id]) > len(objectsOf[victim]) {
			victim = id
		}
	}
	if victim == "" {
		return false, errors.New("no short request was answered")
	}
	if o.trouble {
		time.AfterFunc(crashAfter, func() {
			o.record.printf("%s crashes", victim)
			s.upstreams[victim].crash()
		})
	}
	unanswered, late := 0, 0
	var mu sync.Mutex
	var all sync.WaitGroup
	for i := range longs {
		all.Go(func() {
			id := fmt.Sprintf("l-%d", i)
			object := objectsOf[victim][i%len(objectsOf[victim])]
			head := requestHead("POST", "/post/2f", id, deadline, fmt.Sprintf("Content-Length: %d", length), fmt.Sprintf("%s: %d", headers.ObjectKey, object))
			got := sendSlowly(s.edges[0].Listen, head, length, deadline)
			o.record.printf("%s: answer %d %v after %.3f s", id, got.status, got.err, got.took.Seconds())
			mu.Lock()
			defer mu.Unlock()
			if got.took >= timeout {
				unanswered++
			}
			if got.err != nil || got.took > timeout+slack {
				late++
			}
		})
	}
	all.Wait()
	o.record.printf("of %d long requests %d had no answer at the timeout of their route, %v, and %d had none %v later", longs, unanswered, timeout, late, slack)
	return late >= leastLate && 2*late > unanswered, nil
}

// sendSlowly sends a request with a body of the length over a slow uplink, and waits for the answer
// until the caller's deadline.
func sendSlowly(address, head string, length int, wait time.Duration) answer {
	began := time.Now()
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return answer{err: err, took: time.Since(began)}
	}
	defer conn.Close()
	_ = conn.SetDeadline(began.Add(wait))
	_, err = io.WriteString(conn, head)
	if err != nil {
		return answer{err: err, took: time.Since(began)}
	}
	answered := make(chan struct{})
	defer close(answered)
	go func() {
		for left := length; left > 0; left -= uplinkBytes {
			if _, err := conn.Write(bytes.Repeat([]byte("x"), min(uplinkBytes, left))); err != nil {
				return
			}
			select {
			case <-time.After(uplinkInterval):
			case <-answered:
				return
			}
		}
	}()
	return readAnswer(conn, "POST", began)
}
