package edge

import (
	"fmt"
	"os"
	"os/exec"
	"runtime"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"samphireferry.example/ferry/platform"
	"samphireferry.example/ferry/platform/records"
)

// upstreamFleet is an instance that knows a number of upstreams, and the store that they change.
type upstreamFleet struct {
	control  *control
	now      time.Time
	revision platform.Revision
}

// newUpstreamFleet returns an instance that has read the upstreams and a configuration by which
// those that have started less than 2 s ago are cold.
func newUpstreamFleet(tb testing.TB, upstreams int) *upstreamFleet {
	tb.Helper()
	f := &upstreamFleet{control: newTestControl(tb), now: time.Now(), revision: 1}
	config := `{"version":"00000001","resources":[{"of_kind":"services","meta":{"name":"lookup"},` +
		`"spec":{"health_path":"/health","max_conns":360,"cold_s":2,"cold_per_s":7}}]}`
	entries := []platform.Entry{{Key: records.KeyConfig, Revision: f.revision, Value: []byte(config)}}
	for n := range upstreams {
		f.revision++
		entries = append(entries, f.entry(n, "ready", 0))
	}
	recordsRead{entries: entries, revision: f.revision, full: true}.apply(f.control, f.now)
	f.control.publish(f.now)
	assert.Equal(tb, len(f.control.deps.pool.Upstreams()), upstreams)
	assert.Equal(tb, f.control.table.Version, uint64(1))
	return f
}

// entry returns the record of an upstream at the current revision.
func (f *upstreamFleet) entry(n int, state string, coldFor time.Duration) platform.Entry {
	value := fmt.Sprintf(`{"addr":"127.0.0.1:9","born":1,"info":{"service":"lookup","version":"v1","zone":"east-1","slots":4},`+
		`"status":{"state":%q,"cold_left_ms":%d}}`, state, coldFor.Milliseconds())
	return platform.Entry{Key: fmt.Sprintf("servers/u-%04d", n), Revision: f.revision, Value: []byte(value)}
}

// read applies a change of the store as the control goroutine does.
func (f *upstreamFleet) read(entry platform.Entry) {
	recordsRead{entries: []platform.Entry{entry}, revision: entry.Revision}.apply(f.control, f.now)
	f.control.publish(f.now)
}

// upstreamChanges are the changes of one upstream. Each leaves the number of upstreams as it was.
var upstreamChanges = map[string]func(f *upstreamFleet){
	"an upstream drains": func(f *upstreamFleet) {
		for _, state := range []string{"draining", "ready"} {
			f.revision++
			f.read(f.entry(7, state, 0))
		}
	},
	"an upstream leaves and returns": func(f *upstreamFleet) {
		f.revision++
		f.read(platform.Entry{Key: "servers/u-0007", Revision: f.revision, Deleted: true})
		f.revision++
		f.read(f.entry(7, "ready", 0))
	},
	"an upstream cannot be read": func(f *upstreamFleet) {
		f.revision++
		f.read(f.entry(7, "unknown", 0))
		f.revision++
		f.read(f.entry(7, "ready", 0))
	},
	"an upstream is cold while time passes": func(f *upstreamFleet) {
		f.revision++
		f.read(f.entry(7, "ready", time.Hour))
		f.control.tick(f.now)
		f.control.publish(f.now)
	},
}

// TestAChangeOfAnUpstreamDecodesOneEntry guards against a configuration that waits behind the
// changes of upstreams (CONFIG): each change decoded the entries of all upstreams again.
func TestAChangeOfAnUpstreamDecodesOneEntry(t *testing.T) {
	f := newUpstreamFleet(t, 100)
	decoded := f.control.deps.metrics.Counter("ferry_records_decoded_total", "kind", "upstream")
	assert.Equal(t, decoded.Get(), uint64(100))
	f.revision++
	f.read(f.entry(7, "draining", 0))
	assert.Equal(t, decoded.Get(), uint64(101))
	f.revision++
	f.read(platform.Entry{Key: "servers/u-0007", Revision: f.revision, Deleted: true})
	assert.Equal(t, decoded.Get(), uint64(101))
}

// TestAnUnreadableEntryIsReportedOnce guards against a configuration that waits behind the
// changes of upstreams (CONFIG): each change wrote a line for every entry that cannot be read.
func TestAnUnreadableEntryIsReportedOnce(t *testing.T) {
	f := newUpstreamFleet(t, 10)
	core, logs := observer.New(zapcore.WarnLevel)
	f.control.deps.log = zap.New(core)
	unreadable := f.control.deps.metrics.Counter("ferry_unreadable_entries_total")
	for changes := range 3 {
		f.revision++
		f.read(f.entry(3, "unknown", 0))
		for range 5 {
			f.revision++
			f.read(f.entry(7, "ready", 0))
		}
		assert.Equal(t, logs.FilterMessage("entry of an upstream cannot be read").Len(), changes+1)
		assert.Equal(t, unreadable.Get(), uint64(changes+1))
	}
}

// ownProcess is the environment variable that is set in the process in which
// TestTheWorkOfAChangeDoesNotGrowWithTheUpstreams measures.
const ownProcess = "FERRY_TEST_OWN_PROCESS"

// TestTheWorkOfAChangeDoesNotGrowWithTheUpstreams guards against a configuration that waits behind
// the changes of upstreams (CONFIG): the work of each change grew with the number of all upstreams.
// It measures in a process of its own, since goroutines that other tests left behind allocate.
func TestTheWorkOfAChangeDoesNotGrowWithTheUpstreams(t *testing.T) {
	if os.Getenv(ownProcess) == "" {
		alone := exec.Command(os.Args[0], "-test.run=^"+t.Name()+"$", "-test.count=1", "-test.v")
		alone.Env = append(os.Environ(), ownProcess+"=1")
		output, err := alone.CombinedOutput()
		assert.NilError(t, err, "%s", output)
		return
	}
	// maxGrowth bounds the factor by which 11 times the upstreams may raise the work.
	const maxGrowth = 1.3
	for name, change := range upstreamChanges {
		t.Run(name, func(t *testing.T) {
			smallCount, smallBytes := allocations(newUpstreamFleet(t, 100), change)
			largeCount, largeBytes := allocations(newUpstreamFleet(t, 1100), change)
			t.Logf("%.0f allocations and %.0f bytes with 100 upstreams, %.0f and %.0f with 1,100", smallCount, smallBytes, largeCount, largeBytes)
			assert.Check(t, largeCount <= maxGrowth*smallCount)
			assert.Check(t, largeBytes <= maxGrowth*smallBytes)
		})
	}
}

// allocations returns the mean number of allocations and of bytes that a change allocates.
func allocations(f *upstreamFleet, change func(f *upstreamFleet)) (count, bytes float64) {
	const runs = 50
	count = testing.AllocsPerRun(runs, func() { change(f) })
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range runs {
		change(f)
	}
	runtime.ReadMemStats(&after)
	return count, float64(after.TotalAlloc-before.TotalAlloc) / runs
}

// BenchmarkAChangeOfAnUpstream measures the time for which one changed record of an upstream
// occupies the control goroutine.
func BenchmarkAChangeOfAnUpstream(b *testing.B) {
	for _, upstreams := range []int{40, 465, 1100} {
		b.Run(fmt.Sprint(upstreams), func(b *testing.B) {
			f := newUpstreamFleet(b, upstreams)
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				f.revision++
				f.read(f.entry(7, []string{"ready", "draining"}[n%2], 0))
			}
		})
	}
}
