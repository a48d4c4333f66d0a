package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"samphireferry.example/ferry/platform/headers"
	"samphireferry.example/ferry/standin/records"
)

// encodedSlash sends requests of an at-most-once route whose paths hold an encoded slash, so that the
// prefix of an idempotent route does not begin them, and checks that none runs twice while an upstream
// fails part of its requests.
func encodedSlash(o options) (bool, error) {
	const (
		upstreams = 7
		objects   = 60
		requests  = 10
		work      = 20 * time.Millisecond
		gap       = 300 * time.Millisecond
		wait      = 3 * time.Second
	)
	l := &ledger{record: o.record}
	s, err := newSystem(o.record, o.program)
	if err != nil {
		return false, err
	}
	defer s.close()
	c := configuration(1, time.Second, 142)
	c.Routes = append(c.Routes, records.Route{Name: "r-status", Host: host, Prefix: "/post/status/", Service: "ledger", Timeout: time.Second, Attempts: 2})
	for i := range upstreams {
		u, err := newUpstream(fmt.Sprintf("i-ledger-%d", i+1), "ledger", o.stamp, work, 9, l)
		if err != nil {
			return false, err
		}
		s.upstreams[u.id] = u
		if err := s.put(u.entry(domains[i%len(domains)][0])); err != nil {
			return false, err
		}
	}
	if err := s.start(c, 1); err != nil {
		return false, err
	}
	post := func(path, id string, object int) answer {
		head := requestHead(http.MethodPost, path, id, wait, "Content-Length: 0", fmt.Sprintf("%s: %d", headers.ObjectKey, object))
		got := send(s.edges[0].Listen, head, wait)
		o.record.printf("%s: POST %q: answer %d %v", id, path, got.status, got.err)
		return got
	}
	// The requests concern an object that the failing upstream serves.
	const grey = "i-ledger-1"
	object := -1
	for n := 0; n < objects && object < 0; n++ {
		if got := post("/post/7", fmt.Sprintf("find-%d", n), n); got.header.Get(headers.Instance) == grey {
			object = n
		}
	}
	if object < 0 {
		return false, errors.Newf("%s serves none of the objects", grey)
	}
	s.upstreams[grey].failsPartOf.Store(&[]string{"/post/"}[0])
	path := "/post/status-7"
	if o.trouble {
		path = "/post/status%2f7"
	}
	for i := range requests {
		post(path, fmt.Sprintf("filing-%d", i), object)
		time.Sleep(gap)
	}
	isBroken := false
	runs := map[string]int{}
	for _, r := range l.all() {
		runs[r.id]++
		if runs[r.id] > 1 && atMostOnce(c, r.path) {
			isBroken = true
			o.record.printf("%s ran %d times", r.id, runs[r.id])
		}
	}
	return isBroken, nil
}

// atMostOnce reports whether the route with the longest prefix that begins the path is at-most-once.
func atMostOnce(c records.Configuration, path string) bool {
	var found records.Route
	for _, route := range c.Routes {
		if strings.HasPrefix(path, route.Prefix) && len(route.Prefix) > len(found.Prefix) {
			found = route
		}
	}
	return found.AtMostOnce
}
