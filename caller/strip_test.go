package caller

import (
	"net/http"
	"net/url"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestForwardedHeaderDropsEveryFormOfTheKey(t *testing.T) {
	const key = "secret-key-1"
	cases := map[string]http.Header{
		"bearer":             {"Authorization": {"Bearer " + key}},
		"repeated":           {"Authorization": {"Bearer " + key, "bearer " + key}},
		"route header":       {"X-Key": {key}},
		"other case":         {"x-KEY": {key}},
		"listed":             {"Connection": {"X-Own, close"}, "X-Own": {"anything"}},
		"cookie":             {"Cookie": {"a=" + key}},
		"encoded":            {"Referer": {"http://a/?k=" + url.QueryEscape(key)}},
		"percent encoded":    {"X-Other": {"secret%2Dkey%2D1"}},
		"system header":      {"Ferry-Request-Id": {"1"}},
		"proxy":              {"Proxy-Authorization": {"Basic x"}},
		"trailer":            {"Trailer": {"X-Key"}, "Te": {"trailers"}},
		"authorization free": {"Authorization": {"Basic other"}},
	}
	for name, header := range cases {
		t.Run(name, func(t *testing.T) {
			forwarded := forwardedHeader(header, []string{"X-Key"}, key)
			assert.Equal(t, len(forwarded), 0, "%v", forwarded)
		})
	}
	kept := forwardedHeader(http.Header{"Accept": {"a", "b"}}, []string{"X-Key"}, key)
	assert.DeepEqual(t, kept, http.Header{"Accept": {"a", "b"}})
}

func TestForwardedQueryDropsKeysAndKeepsTheRest(t *testing.T) {
	cases := []struct{ query, want string }{
		{"", ""},
		{"a=1&b=%20x&a=2", "a=1&b=%20x&a=2"},
		{"key=secret&a=1", "a=1"},
		{"a=1&k%65y=x", "a=1"},
		{"a=xsecrety&b=2", "b=2"},
		{"a=%73ecret&b=2", "b=2"},
		{"secret=1&b=2", "b=2"},
		{"a=1&%zz=2", "a=1"},
	}
	for _, c := range cases {
		assert.Equal(t, forwardedQuery(c.query, []string{"key"}, "secret"), c.want, c.query)
	}
}

func FuzzForwardedRequestNeverContainsTheKey(f *testing.F) {
	f.Add("Authorization", "Bearer secret-key", "a=secret-key&key=1")
	f.Add("Cookie", "x=%73ecret-key", "a=%73ecret-key")
	f.Add("Connection", "x-own", "k%65y=secret-key&&=")
	f.Fuzz(func(t *testing.T, name, value, query string) {
		const key = "secret-key"
		header := http.Header{name: {value}}
		for n, values := range forwardedHeader(header, []string{"X-Key"}, key) {
			if strings.EqualFold(n, "Authorization") || strings.EqualFold(n, "X-Key") {
				t.Fatalf("header %q was forwarded", n)
			}
			if strings.Contains(strings.Join(values, ","), key) {
				t.Fatalf("header %q contains the key", n)
			}
		}
		forwarded := forwardedQuery(query, []string{"key"}, key)
		if strings.Contains(forwarded, key) {
			t.Fatalf("query %q contains the key", forwarded)
		}
		decoded, err := url.ParseQuery(forwarded)
		if err == nil && decoded.Has("key") {
			t.Fatalf("query %q has the key parameter", forwarded)
		}
	})
}
