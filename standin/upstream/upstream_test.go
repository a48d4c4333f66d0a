package upstream

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"samphireferry.example/ferry/platform/headers"
	peer "samphireferry.example/ferry/upstream"
)

// TestConditionsAreStated sets faults as a test over HTTP does.
func TestConditionsAreStated(t *testing.T) {
	for _, c := range []struct {
		name, faults        string
		status              int
		leaving, retryAfter string
		draining            bool
	}{
		{"none", `{}`, http.StatusOK, "", "", false},
		{"drains without stating it", `{"draining": true}`, http.StatusOK, "", "", true},
		{"drains and states it", `{"draining": true, "states_leaving": true}`, http.StatusOK, "1", "", true},
		{"does not drain", `{"states_leaving": true}`, http.StatusOK, "", "", false},
		{"refuses", `{"requests": [{"kind": "shed"}], "retry_after": "1500ms"}`, http.StatusServiceUnavailable, "", "1.5", false},
		{"refuses without a time", `{"requests": [{"kind": "shed"}]}`, http.StatusServiceUnavailable, "", "", false},
		{"serves", `{"retry_after": "1500ms"}`, http.StatusOK, "", "", false},
		{"drains and refuses", `{"draining": true, "states_leaving": true, "requests": [{"kind": "shed"}], "retry_after": "2s"}`, http.StatusServiceUnavailable, "1", "2", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			u := New(Options{Name: "u"})
			serve := func(method, path, body string) *httptest.ResponseRecorder {
				w := httptest.NewRecorder()
				u.ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
				return w
			}
			assert.Equal(t, serve(http.MethodPost, "/standin/faults", c.faults).Code, http.StatusNoContent)
			got := serve(http.MethodGet, "/read/7", "")
			assert.Equal(t, got.Code, c.status)
			assert.Equal(t, got.Header().Get(headers.Leaving), c.leaving)
			assert.Equal(t, got.Header().Get(headers.RetryAfter), c.retryAfter)
			var health peer.HealthReport
			assert.NilError(t, json.Unmarshal(serve(http.MethodGet, "/healthz", "").Body.Bytes(), &health))
			assert.Equal(t, health.Draining, c.draining)
		})
	}
}
