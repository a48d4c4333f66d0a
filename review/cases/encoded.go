package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"samphireferry.example/ferry/standin/records"
)

// encodedSlash sends a few requests whose paths have an encoded slash where prefixes of routes have a
// slash, so that these prefixes do not begin them, and checks that none runs at the services of
// those routes.
func encodedSlash(o options) (bool, error) {
	const requests, work, wait = 5, 20 * time.Millisecond, 3 * time.Second
	l := &ledger{record: o.record}
	s, err := newSystem(o.record, o.program)
	if err != nil {
		return false, err
	}
	defer s.close()
	c := configuration(1, time.Second, 142)
	c.Services = append(c.Services, "vault")
	c.Routes = append(c.Routes, records.Route{
		Name: "r-sealed", Host: host, Prefix: "/lookup/sealed/", Service: "vault", Timeout: time.Second, Attempts: 2, AtMostOnce: true,
	})
	for i, service := range []string{"desk", "ledger", "vault"} {
		u, err := newUpstream("i-"+service, service, o.stamp, work, 7, l)
		if err != nil {
			return false, err
		}
		if err := s.put(u.entry(domains[i][0])); err != nil {
			return false, err
		}
	}
	if err := s.start(c, 1); err != nil {
		return false, err
	}
	slash := "/"
	if o.trouble {
		slash = "%2f"
	}
	for i := range requests {
		for _, path := range []string{"/post" + slash + "7", "/lookup/sealed" + slash + "7"} {
			id := fmt.Sprintf("%s-%d", strings.Trim(path, "/"), i)
			got := send(s.edges[0].Listen, requestHead(http.MethodPost, path, id, wait, "Content-Length: 0"), wait)
			o.record.printf("POST %q: answer %d %v", path, got.status, got.err)
		}
	}
	isBroken := false
	for _, r := range l.all() {
		expected := serviceOf(c, r.path)
		if r.service != expected {
			isBroken = true
			o.record.printf("%s: service %q ran it, by the configuration it is for %q", r.path, r.service, expected)
		}
	}
	return isBroken, nil
}

// serviceOf returns the service of the route with the longest prefix that begins the path, or an
// empty string if there is none.
func serviceOf(c records.Configuration, path string) string {
	service, longest := "", 0
	for _, route := range c.Routes {
		if strings.HasPrefix(path, route.Prefix) && len(route.Prefix) > longest {
			service, longest = route.Service, len(route.Prefix)
		}
	}
	return service
}
