package demo

import (
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"samphireferry.example/ferry/invariant"
)

func startSystem(t *testing.T, options Options) *System {
	t.Helper()
	options.OnViolation = func(name invariant.Name, detail string) { t.Errorf("invariant %s: %s", name, detail) }
	s, err := Start(options)
	t.Cleanup(func() { assert.NilError(t, s.Stop()) })
	assert.NilError(t, err)
	return s
}

func get(t *testing.T, url, key string) (int, string) {
	t.Helper()
	r, err := http.NewRequest(http.MethodGet, url, nil)
	assert.NilError(t, err)
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(body)
}

// waitReady waits until every entry instance serves.
func waitReady(t *testing.T, s *System) {
	t.Helper()
	for _, entry := range s.Entries {
		url := "http://" + entry.CallerAddress() + "/dossiers/1"
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			status, body := get(t, url, KeyLarge)
			if status == http.StatusOK {
				return poll.Success()
			}
			return poll.Continue("%s: %d %s", url, status, body)
		}, poll.WithTimeout(60*time.Second), poll.WithDelay(100*time.Millisecond))
	}
}

func TestEveryEntryInstanceServesReads(t *testing.T) {
	s := startSystem(t, Options{})
	waitReady(t, s)
}
