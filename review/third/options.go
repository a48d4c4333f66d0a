package main

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"samphireferry.example/ferry/platform/headers"
)

const (
	// optionsEach is the number of requests about no path that each instance gets.
	optionsEach = 20
	// optionsPause is the pause between two of them.
	optionsPause = 50 * time.Millisecond
)

// runOptions has a client without a key send requests whose target is "*" beside ordinary callers.
func runOptions(r *run) (bool, error) {
	s, err := startSystem(r, 2, nil)
	defer s.close()
	if err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c := newCallers(r.record)
	var wait sync.WaitGroup
	wait.Go(func() { c.run(ctx, 4, 50*time.Millisecond, s.addresses()) })
	time.Sleep(settleTime)
	sent, foreign := 0, 0
	for n := range optionsEach {
		if !r.trouble {
			break
		}
		for k, address := range s.addresses() {
			id := fmt.Sprintf("options-%d-%d", k, n)
			status, err := r.askOptions(address, id)
			if err != nil {
				return false, err
			}
			sent++
			if status/100 == 2 && !s.anyHasRun(id) {
				foreign++
			}
		}
		time.Sleep(optionsPause)
	}
	cancel()
	wait.Wait()
	if err := s.checkRunning(); err != nil {
		return false, err
	}
	c.sumAnswers()
	r.record.sum("%d of %d requests with the target * got a success, though no upstream ran them", foreign, sent)
	return foreign > 0, nil
}

// askOptions sends a request with the target "*" and returns the status of its answer.
func (r *run) askOptions(address, id string) (int, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(callerDeadline))
	r.record.note("sent %s OPTIONS * to %s", id, address)
	fmt.Fprintf(conn, "OPTIONS * HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n\r\n", host, headers.AttemptID, id)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		// A closed connection is no success.
		r.record.note("answered %s none: %v", id, err)
		return 0, nil
	}
	_ = response.Body.Close()
	r.record.note("answered %s %d %v", id, response.StatusCode, response.Header)
	return response.StatusCode, nil
}

// anyHasRun reports whether any upstream has run a request with the id.
func (s *system) anyHasRun(id string) bool {
	for _, u := range s.upstreams {
		if u.hasRun(id) {
			return true
		}
	}
	return false
}
