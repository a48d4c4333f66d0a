package requesthead

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"samphireferry.example/ferry/errkind"
)

// Guards against a caller that removes the customer's name or the deadline from its request by the
// Connection field (UNASKED).
func TestNominatedFields(t *testing.T) {
	fields := Fields{Kept: []string{"X-Tenant", "Authorization"}, Once: []string{"Authorization"}}
	r := httptest.NewRequest(http.MethodGet, "/read/7", nil)
	r.Header = http.Header{
		"Connection": {"keep-alive, X-TENANT,x-hop", "authorization , X-Other"}, "Keep-Alive": {"timeout=5"}, "Te": {"trailers"},
		"X-Hop": {"a"}, "X-Other": {"a"}, "X-Stays": {"a", "b"}, "X-Tenant": {"a"}, "Authorization": {"k"}, "Upgrade": {"h2c"},
	}
	_, err := Accept(r, fields)
	assert.NilError(t, err)
	assert.DeepEqual(t, r.Header, http.Header{"X-Stays": {"a", "b"}, "X-Tenant": {"a"}, "Authorization": {"k"}})
	r.Header["Authorization"] = []string{"k", "k"}
	_, err = Accept(r, fields)
	reason, kind := reasonOf(err)
	assert.Equal(t, reason, RepeatedField)
	assert.Equal(t, kind, errkind.BadRequest)
}

// Guards against a path that selects another route than the one that the upstream runs (TWICE, ROUTE).
func TestPathSelectsTheRouteThatRuns(t *testing.T) {
	prefixes := []string{"/post/", "/post/status/", "/lookup/"}
	longest := func(path string) (string, bool) {
		found := ""
		for _, prefix := range prefixes {
			if strings.HasPrefix(path, prefix) && len(prefix) > len(found) {
				found = prefix
			}
		}
		return found, found != ""
	}
	const refused = "refused"
	for target, want := range map[string]string{
		"/post/7":                     "/post/",
		"/post/status/7":              "/post/status/",
		"/post/status-7":              "/post/",
		"/post/status":                "/post/",
		"/post/status%2f7":            refused,
		"/post/status%2F7?a=b":        refused,
		"/post/status%5c7":            refused,
		`/post/status\7`:              refused,
		"/post//status/7":             refused,
		"/post/%73tatus/7":            refused,
		"/post%2f7":                   "",
		"/%70ost/7":                   "",
		"//post/7":                    "",
		"/other/7":                    "",
		"/post":                       "",
		"/post/a%2fb":                 "/post/",
		"/post/a%5cb":                 "/post/",
		"/post//7":                    "/post/",
		"/post/a%20b%25%C3%A9":        "/post/",
		"/post/a.b/..c/...":           "/post/",
		"/post/a%00b":                 refused,
		"/post/../lookup/7":           refused,
		"/post/..":                    refused,
		"/post/./7":                   refused,
		"/post/%2e%2E/lookup/7":       refused,
		"/post/a%2f..%2f..%2flookup/": refused,
		`/post/..\lookup/7`:           refused,
		"/post/a%2f/../../b":          refused,
		"/post/a#b":                   refused,
		"*":                           refused,
		"a.example:80":                refused,
		"http://a.example/post/7":     "/post/",
		"http://a.example":            refused,
	} {
		r := &http.Request{RequestURI: target, Header: http.Header{}}
		head, err := Accept(r, Fields{})
		route := ""
		if err == nil {
			route, _, err = Select(head, longest)
		}
		if err != nil {
			reason, kind := reasonOf(err)
			assert.Equal(t, reason, BadPath)
			assert.Equal(t, kind, errkind.BadRequest)
			route = refused
		}
		assert.Equal(t, route, want, target)
		if want != refused && strings.HasPrefix(target, "/") {
			assert.Equal(t, head.Path, target, "the path is not changed")
		}
	}
}
