package main

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// answer is what a caller got for a request.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
	took   time.Duration
}

// send writes a request on a new connection and waits for the answer, for the time at most.
func send(address, request string, wait time.Duration) answer {
	began := time.Now()
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return answer{err: err, took: time.Since(began)}
	}
	defer conn.Close()
	_ = conn.SetDeadline(began.Add(wait))
	_, err = io.WriteString(conn, request)
	if err != nil {
		return answer{err: err, took: time.Since(began)}
	}
	return readAnswer(conn, strings.SplitN(request, " ", 2)[0], began)
}

// readAnswer reads a whole answer from the connection.
func readAnswer(conn net.Conn, method string, began time.Time) answer {
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		return answer{err: err, took: time.Since(began)}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: string(body), err: err, took: time.Since(began)}
}
