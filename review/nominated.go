package main

import (
	"fmt"
	"time"

	"samphireferry.example/ferry/platform/headers"
)

// nominatedField sends requests whose Connection field nominates the field with the name of
// the customer, and checks that every run has it.
func nominatedField(o options) (bool, error) {
	const requests, work, wait = 20, 20 * time.Millisecond, 3 * time.Second
	l := &ledger{record: o.record}
	s, err := newSmallSystem(o, 1, 3, 7, work, time.Second, 142, l)
	if err != nil {
		return false, err
	}
	defer s.close()
	connection := "Connection: keep-alive"
	if o.trouble {
		connection += ", " + headers.Customer
	}
	for i := range requests {
		method, path := "GET", "/lookup/2f"
		framing := []string{connection}
		if i%2 == 1 {
			method, path = "POST", "/post/2f"
			framing = append(framing, "Content-Length: 0")
		}
		id := fmt.Sprintf("n-%d", i)
		got := send(s.edges[0].Listen, requestHead(method, path, id, wait, framing...), wait)
		o.record.printf("%s %s, %q: answer %d %v", method, id, connection, got.status, got.err)
	}
	isBroken := false
	for _, r := range l.all() {
		if r.header.Get(headers.Customer) != customer {
			isBroken = true
		}
	}
	if len(l.all()) < requests {
		return false, fmt.Errorf("only %d requests ran", len(l.all()))
	}
	return isBroken, nil
}
