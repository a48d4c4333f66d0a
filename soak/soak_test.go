package soak

import (
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// shortHarm keeps the run in CI short; ferry-soak runs longer ones.
const shortHarm = 4 * time.Second

// TestPromisesUnderFaults runs fixed seeds. A seed that ever failed is added with a
// line on its cause.
func TestPromisesUnderFaults(t *testing.T) {
	program := filepath.Join(t.TempDir(), "ferry-edge")
	build := exec.Command("go", "build", "-o", program, "../cmd/ferry-edge")
	build.Stderr = os.Stderr
	assert.NilError(t, build.Run())
	for _, seed := range []uint64{1, 2, 3} {
		result, err := Run(t.Context(), Options{
			Program: program, Seed: seed, Harm: shortHarm, Instances: 4, Callers: 6,
			Log: io.Discard, LogLevel: "error", Report: io.Discard,
		})
		assert.NilError(t, err, "seed %d", seed)
		assert.Equal(t, len(result.Broken), 0, "seed %d: %v", seed, result.Broken)
	}
}

func TestWhatALedgerFinds(t *testing.T) {
	for _, test := range []struct {
		name   string
		do     func(l *Ledger)
		broken int
	}{
		{"a filing runs twice", func(l *Ledger) { l.Sent("a", true); l.Ran("a", "u"); l.Ran("a", "v") }, 1},
		{"a lookup runs twice", func(l *Ledger) { l.Sent("a", false); l.Ran("a", "u"); l.Ran("a", "v") }, 0},
		{"a refused request had run", func(l *Ledger) { l.Sent("a", true); l.Ran("a", "u"); l.Answered("a", 503, true) }, 1},
		{"a refused request runs later", func(l *Ledger) { l.Sent("a", true); l.Answered("a", 429, true); l.Ran("a", "u") }, 1},
		{"nobody sent it", func(l *Ledger) { l.Ran("a", "u") }, 1},
		{"a success without a run", func(l *Ledger) { l.Sent("a", false); l.Answered("a", 200, false) }, 1},
		{"an answer that promises nothing", func(l *Ledger) { l.Sent("a", true); l.Ran("a", "u"); l.Answered("a", 502, false) }, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			l := NewLedger()
			test.do(l)
			assert.Equal(t, len(l.Broken()), test.broken, "%v", l.Broken())
		})
	}
}

func TestAProxyHoldsBackADirection(t *testing.T) {
	u, err := newUpstream("u", "lookup", NewLedger())
	assert.NilError(t, err)
	defer u.close()
	u.proxy.Set(Harm{Silent: [2]bool{Out: false, In: true}})
	client, err := net.Dial("tcp", u.proxy.Address())
	assert.NilError(t, err)
	defer client.Close()
	_, err = io.WriteString(client, "GET /health HTTP/1.1\r\nHost: a\r\nX-Expect-Instance: other\r\n\r\n")
	assert.NilError(t, err)
	got := make(chan byte, 1)
	go func() {
		first := make([]byte, 1)
		if _, err := client.Read(first); err == nil {
			got <- first[0]
		}
		close(got)
	}()
	select {
	case <-got:
		t.Fatal("an answer came through a silent proxy")
	case <-time.After(100 * time.Millisecond):
	}
	u.proxy.Set(Harm{})
	assert.Equal(t, <-got, byte('H'))
}
