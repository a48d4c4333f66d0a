package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"samphireferry.example/ferry/platform/headers"
)

const (
	// seriesLength is the number of requests that a caller sends before it reads the first answer.
	seriesLength = 3
	// windowBytes is the receive buffer of a caller's connection, linkBytes what it receives per second:
	// the slowest link of the site's machines has 10 Mbit/s.
	windowBytes = 8 << 10
	linkBytes   = 10_000_000 / 8
	// answerBytes is the length of the answers: the largest of the site's requests of this habit.
	answerBytes = 30_000
	// callersPerInstance is the number of connections that are in use at an instance.
	callersPerInstance = 12
	// requestGap is the time between two requests of a series, seriesGap that between two series.
	requestGap = 20 * time.Millisecond
	seriesGap  = 150 * time.Millisecond
	// stopGap is the time between two planned stops.
	stopGap = 9 * time.Second
	// gridWork is how long a request takes at an upstream.
	gridWork = 2200 * time.Millisecond
)

// pipelinedStop stops the instances in turn while callers send idempotent requests before the first one
// is answered.
func pipelinedStop(s *system, trouble bool) (bool, error) {
	for n, d := range s.Domains {
		for k := range 2 {
			u, err := s.addUpstream(fmt.Sprintf("u-%d-%d", n, k), "grid", d.Name, 9, gridWork)
			if err != nil {
				return false, err
			}
			u.size = answerBytes
		}
	}
	if err := s.startAll(); err != nil {
		return false, err
	}
	if err := s.awaitReady(10 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(8 * time.Second)
	p := &pipeline{system: s}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for _, e := range s.entries {
		for n := range callersPerInstance {
			p.running.Add(1)
			go p.call(ctx, e, time.Duration(n)*gridWork/callersPerInstance)
		}
	}
	time.Sleep(3 * time.Second)
	for _, e := range s.entries {
		if trouble {
			s.note("SIGTERM of %s", e.name)
			e.signal(syscall.SIGTERM)
			e.wait()
			s.note("%s has ended and is started again", e.name)
			if err := e.start(); err != nil {
				return false, err
			}
		}
		time.Sleep(stopGap)
	}
	cancel()
	p.running.Wait()
	s.note("%d requests answered, %d passed on and cut, of them %d first in their series", p.answered.Load(), p.lost.Load(), p.lostFirst.Load())
	return p.lost.Load() > 0, nil
}

// pipeline is the callers that send requests before the first one is answered.
type pipeline struct {
	system                           *system
	running                          sync.WaitGroup
	count, answered, lost, lostFirst atomic.Int64
}

// call keeps a connection to the instance in use, from the delay until the context ends.
func (p *pipeline) call(ctx context.Context, e *entry, delay time.Duration) {
	defer p.running.Done()
	time.Sleep(delay)
	dialer := net.Dialer{Timeout: time.Second, Control: func(_, _ string, c syscall.RawConn) error {
		var set error
		err := c.Control(func(fd uintptr) { set = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, windowBytes) })
		if err != nil {
			return err
		}
		return set
	}}
	for ctx.Err() == nil {
		conn, err := dialer.Dial("tcp", e.address)
		if err != nil {
			// The instance is stopped.
			time.Sleep(100 * time.Millisecond)
			continue
		}
		r := bufio.NewReader(slowLink{conn})
		for ctx.Err() == nil && p.series(conn, r, e) {
			time.Sleep(seriesGap)
		}
		_ = conn.Close()
	}
}

// series sends requests and reads their answers. It returns whether the connection stays open.
func (p *pipeline) series(conn net.Conn, r *bufio.Reader, e *entry) bool {
	var ids []string
	for n := range seriesLength {
		if n > 0 {
			time.Sleep(requestGap)
		}
		id := fmt.Sprintf("p%07d", p.count.Add(1))
		ids = append(ids, id)
		_, err := fmt.Fprintf(conn, "GET /grid/%s HTTP/1.1\r\nHost: grid.example\r\n%s: %s\r\n%s: 5000\r\n%s: %s\r\nAuthorization: Bearer house-key\r\n\r\n",
			id, headers.AttemptID, id, headers.DeadlineMillis, headers.ObjectKey, id)
		if err != nil {
			return false
		}
		p.system.line("%s sent to %s", id, e.name)
	}
	_ = conn.SetReadDeadline(time.Now().Add(20 * time.Second))
	for n, id := range ids {
		response, err := http.ReadResponse(r, nil)
		if err != nil {
			p.cut(n, id, 0, err)
			return false
		}
		body, err := io.ReadAll(response.Body)
		if err != nil {
			p.cut(n, id, len(body), err)
			return false
		}
		p.system.line("%s answered: %d, %d bytes", id, response.StatusCode, len(body))
		p.answered.Add(1)
		if response.Close {
			// What was sent behind it counts as not read.
			return false
		}
	}
	return true
}

// cut records a request whose connection has ended without a complete answer.
func (p *pipeline) cut(position int, id string, received int, err error) {
	ran := false
	for _, u := range p.system.upstreams {
		ran = ran || u.hasRun(id)
	}
	p.system.line("%s got no complete answer: %d bytes, %v; has run: %v", id, received, err, ran)
	if !ran {
		return
	}
	if p.lost.Add(1) <= 5 {
		p.system.note("%s, number %d of its series, has run and its connection ended after %d bytes of the answer: %v", id, position+1, received, err)
	}
	if position == 0 {
		p.lostFirst.Add(1)
	}
}

// slowLink reads no faster than a link of linkBytes per second delivers.
type slowLink struct{ io.Reader }

// Read implements io.Reader.
func (l slowLink) Read(p []byte) (int, error) {
	n, err := l.Reader.Read(p)
	time.Sleep(time.Duration(n) * time.Second / linkBytes)
	return n, err
}
