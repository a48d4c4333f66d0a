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

// shortFaultDuration keeps the run in CI short; ferry-soak runs longer soaks.
const shortFaultDuration = 4 * time.Second

// TestGuaranteesUnderFaults runs fixed seeds. A seed that has failed is added here with
// a line on its cause.
func TestGuaranteesUnderFaults(t *testing.T) {
	program := filepath.Join(t.TempDir(), "ferry-edge")
	build := exec.Command("go", "build", "-o", program, "../cmd/ferry-edge")
	build.Stderr = os.Stderr
	assert.NilError(t, build.Run())
	for _, seed := range []uint64{1, 2, 3} {
		result, err := Run(t.Context(), Options{
			Program: program, Seed: seed, FaultDuration: shortFaultDuration, Instances: 4, Callers: 6,
			Log: io.Discard, LogLevel: "error", Report: io.Discard,
		})
		assert.NilError(t, err, "seed %d", seed)
		assert.Equal(t, len(result.Violations), 0, "seed %d: %v", seed, result.Violations)
	}
}

func TestLedgerFindsViolations(t *testing.T) {
	for _, test := range []struct {
		name       string
		do         func(l *Ledger)
		violations int
	}{
		{"an at-most-once request runs twice", func(l *Ledger) { l.RecordSent("a", true); l.RecordRun("a", "u"); l.RecordRun("a", "v") }, 1},
		{"an idempotent request runs twice", func(l *Ledger) { l.RecordSent("a", false); l.RecordRun("a", "u"); l.RecordRun("a", "v") }, 0},
		{"a refused request had run", func(l *Ledger) { l.RecordSent("a", true); l.RecordRun("a", "u"); l.RecordResponse("a", 503, true) }, 1},
		{"a refused request runs later", func(l *Ledger) { l.RecordSent("a", true); l.RecordResponse("a", 429, true); l.RecordRun("a", "u") }, 1},
		{"no caller sent it", func(l *Ledger) { l.RecordRun("a", "u") }, 1},
		{"a success without a run", func(l *Ledger) { l.RecordSent("a", false); l.RecordResponse("a", 200, false) }, 1},
		{"a response that guarantees nothing", func(l *Ledger) { l.RecordSent("a", true); l.RecordRun("a", "u"); l.RecordResponse("a", 502, false) }, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			l := NewLedger()
			test.do(l)
			assert.Equal(t, len(l.Violations()), test.violations, "%v", l.Violations())
		})
	}
}

func TestProxySilencesOneDirection(t *testing.T) {
	u, err := newUpstream("u", "lookup", NewLedger(), newDepartures())
	assert.NilError(t, err)
	defer u.close()
	u.proxy.SetFault(ProxyFault{Silent: [2]bool{Outbound: false, Inbound: true}})
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
		t.Fatal("a response came through a silent proxy")
	case <-time.After(100 * time.Millisecond):
	}
	u.proxy.SetFault(ProxyFault{})
	assert.Equal(t, <-got, byte('H'))
}
