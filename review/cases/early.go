package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"samphireferry.example/ferry/platform/headers"
	"samphireferry.example/ferry/standin/records"
)

// Shares of the disruption: earlyUpstreams of ledgerUpstreams upstreams answer earlyShare of their
// requests early, at most.
const (
	ledgerUpstreams = 4
	earlyUpstreams  = 2
	earlyShare      = 0.02
)

// earlyUpstream is an upstream of which some reject long requests as soon as they have read the
// head, and read the body afterwards.
type earlyUpstream struct {
	id, stamp string
	faulty    bool
	record    *record

	mu             sync.Mutex
	answers, early int
}

// answersEarly decides whether a request with the length is rejected before it is in, and counts
// the answer.
func (u *earlyUpstream) answersEarly(length int64) bool {
	const long = 100_000
	u.mu.Lock()
	defer u.mu.Unlock()
	u.answers++
	if !u.faulty || length < long || float64(u.early+1) > earlyShare*float64(u.answers) {
		return false
	}
	u.early++
	return true
}

// serve serves the connections of the listener.
func (u *earlyUpstream) serve(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go u.serveConn(conn)
	}
}

func (u *earlyUpstream) serveConn(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := request.Header.Get(headers.AttemptID)
		if u.answersEarly(request.ContentLength) {
			u.record.printf("%s rejects %s before it is in", u.id, id)
			err = u.answer(conn, id, "413 Content Too Large")
			if err == nil {
				_, err = io.Copy(io.Discard, request.Body)
			}
		} else {
			_, err = io.Copy(io.Discard, request.Body)
			if err == nil {
				err = u.answer(conn, id, "200 OK")
			}
		}
		if err != nil {
			return
		}
	}
}

func (u *earlyUpstream) answer(conn net.Conn, id, status string) error {
	body := status + "\n"
	_, err := fmt.Fprintf(conn, "HTTP/1.1 %s\r\n%s: %s\r\n%s: %s\r\n%s: 3e1b.07.5a2.600.0.c9f2a4d1\r\nContent-Length: %d\r\n\r\n%s",
		status, headers.AttemptID, id, headers.Instance, u.id, u.stamp, len(body), body)
	return err
}

// earlyAnswer sends many short requests, and some long ones over slow uplinks, to upstreams of
// which some reject long requests before they are in. It checks that the requests are answered by
// the timeout of their route.
func earlyAnswer(o options) (bool, error) {
	const (
		objects   = 40
		shorts    = 2400
		shortGap  = 2500 * time.Microsecond
		longs     = 12
		length    = 270_000
		timeout   = 1200 * time.Millisecond
		slack     = 500 * time.Millisecond
		deadline  = 4 * time.Second
		ratePerS  = 1000
		leastLate = 8
	)
	s, err := newSystem(o.record, o.program)
	if err != nil {
		return false, err
	}
	defer s.close()
	faulty := map[string]bool{}
	for i := range ledgerUpstreams {
		u := &earlyUpstream{id: fmt.Sprintf("i-ledger-%d", i+1), stamp: o.stamp, faulty: o.trouble && i < earlyUpstreams, record: o.record}
		faulty[u.id] = i < earlyUpstreams
		listener, err := listen()
		if err != nil {
			return false, err
		}
		defer listener.Close()
		go u.serve(listener)
		err = s.put(records.Upstream{ID: u.id, Address: listener.Addr().String(), Service: "ledger", Version: "v1", FailureDomain: domains[i][0], Slots: 9, Started: time.Now()})
		if err != nil {
			return false, err
		}
	}
	if err := s.fill(o, 1, 0, 0, 0, timeout, ratePerS, nil); err != nil {
		return false, err
	}
	var mu sync.Mutex
	var all sync.WaitGroup
	// servedBy holds the upstream that answered a request for the object last.
	servedBy := map[int]string{}
	for i := range shorts {
		time.Sleep(shortGap)
		all.Go(func() {
			head := requestHead("POST", "/post/2f", fmt.Sprintf("s-%d", i), deadline, "Content-Length: 5", fmt.Sprintf("%s: %d", headers.ObjectKey, i%objects))
			got := send(s.edges[0].Listen, head+"short", deadline)
			mu.Lock()
			defer mu.Unlock()
			if got.status == http.StatusOK {
				servedBy[i%objects] = got.header.Get(headers.Instance)
			}
		})
	}
	all.Wait()
	// The long requests concern objects whose upstreams are among the faulty ones.
	var concerned []int
	for object, upstream := range servedBy {
		if faulty[upstream] {
			concerned = append(concerned, object)
		}
	}
	if len(concerned) == 0 {
		return false, errors.New("no short request was answered")
	}
	unanswered, late := 0, 0
	for i := range longs {
		all.Go(func() {
			id := fmt.Sprintf("l-%d", i)
			head := requestHead("POST", "/post/2f", id, deadline, fmt.Sprintf("Content-Length: %d", length), fmt.Sprintf("%s: %d", headers.ObjectKey, concerned[i%len(concerned)]))
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

// A slow uplink carries uplinkBytes in each uplinkInterval, 40 KB/s.
const (
	uplinkBytes    = 8_000
	uplinkInterval = 200 * time.Millisecond
)

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
