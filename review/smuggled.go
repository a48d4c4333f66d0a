package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// smuggled sends requests whose bodies hold the text of another request, and checks that no
// upstream runs that one. With the disruption, a request has both a length, which covers the text,
// and a transfer coding, by which its body ends before the text.
func smuggled(o options) (bool, error) {
	const (
		requests = 10
		work     = 20 * time.Millisecond
		deadline = 3 * time.Second
		// quiet is how long the caller waits for further bytes.
		quiet = 500 * time.Millisecond
	)
	l := &ledger{record: o.record}
	s, err := newSmallSystem(o, 1, 3, 7, work, time.Second, 142, l)
	if err != nil {
		return false, err
	}
	defer s.close()
	sent := map[string]bool{}
	for i := range requests {
		id := fmt.Sprintf("outer-%d", i)
		sent[id] = true
		body := "0\r\n\r\n" + requestHead(http.MethodPost, "/post/9", fmt.Sprintf("inner-%d", i), deadline, "Content-Length: 0")
		framing := []string{fmt.Sprintf("Content-Length: %d", len(body))}
		if o.trouble {
			framing = append(framing, "Transfer-Encoding: chunked")
		}
		o.record.printf("%s is sent: %s, body of %d bytes with the text of inner-%d", id, strings.Join(framing, ", "), len(body), i)
		err := o.exchange(s.edges[0].Listen, requestHead(http.MethodPost, "/post/7", id, deadline, framing...)+body, quiet)
		if err != nil {
			return false, err
		}
	}
	isBroken := false
	for _, r := range l.all() {
		if !sent[r.id] {
			isBroken = true
			o.record.printf("%s ran; it was only sent inside another request", r.id)
		}
	}
	return isBroken, nil
}

// exchange writes the text to a new connection and records all answers until nothing comes any
// more.
func (o options) exchange(address, text string, quiet time.Duration) error {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return err
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, text); err != nil {
		return err
	}
	reader := bufio.NewReader(conn)
	for {
		_ = conn.SetReadDeadline(time.Now().Add(quiet))
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			o.record.printf("end of the answers: %v", err)
			return nil
		}
		body, err := io.ReadAll(response.Body)
		o.record.printf("answer %d %q %v", response.StatusCode, body, err)
		if err != nil {
			return nil
		}
	}
}
