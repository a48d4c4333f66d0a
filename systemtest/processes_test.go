package systemtest

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	standinplatform "samphireferry.example/ferry/standin/platform"
)

// filingResults records the results of filings by idempotency key.
type filingResults struct {
	mu sync.Mutex
	// last holds the result of the last attempt.
	last map[string]callResult
	// notRun is true while every attempt had the outcome not-run.
	notRun map[string]bool
}

func (f *filingResults) record(key string, a callResult) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.last[key] = a
	before, known := f.notRun[key]
	f.notRun[key] = a.outcome == "not-run" && (!known || before)
}

// sendFilingsDuring runs the action while 6 callers send filings to all entry
// instances.
func (s *system) sendFilingsDuring(t *testing.T, action func()) *filingResults {
	t.Helper()
	f := &filingResults{last: map[string]callResult{}, notRun: map[string]bool{}}
	done := make(chan struct{})
	var running sync.WaitGroup
	for worker := range 6 {
		running.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-done:
					return
				default:
				}
				s.sendFilingWithRetries(t, f, worker, i)
			}
		})
	}
	action()
	close(done)
	running.Wait()
	return f
}

// sendFilingWithRetries sends a filing up to 3 times with the same idempotency key,
// until its outcome is ran.
func (s *system) sendFilingWithRetries(t *testing.T, f *filingResults, worker, i int) {
	from := s.entries[(worker+i)%len(s.entries)]
	home, ok := fetchHome(from.address)
	if !ok {
		time.Sleep(20 * time.Millisecond)
		return
	}
	key := fmt.Sprintf("%s.w%d-%d", home, worker, i)
	for attempt := range 3 {
		a := sendFiling(t.Context(), s.entries[(worker+i+attempt)%len(s.entries)].address, key)
		f.record(key, a)
		if a.outcome == "ran" {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// fetchHome requests the home of new idempotency keys from an entry instance.
func fetchHome(address string) (string, bool) {
	response, err := http.Get("http://" + address + "/v1/entry-instances")
	if err != nil {
		return "", false
	}
	defer response.Body.Close()
	text := make([]byte, 4096)
	n, _ := response.Body.Read(text)
	_, rest, found := strings.Cut(string(text[:n]), `"home":"`)
	home, _, _ := strings.Cut(rest, `"`)
	return home, found && home != ""
}

// checkFilings asserts that no filing ran twice, and that the outcomes not-run and ran
// in the responses were correct.
func (s *system) checkFilings(t *testing.T, f *filingResults) {
	t.Helper()
	ran := s.executions()
	counts := map[string]int{}
	for key, a := range f.last {
		counts[fmt.Sprintf("%d %s", a.status, a.outcome)]++
		assert.Assert(t, ran[key] <= 1, "%s ran %d times", key, ran[key])
		if f.notRun[key] {
			assert.Equal(t, ran[key], 0, "%s: every response had the outcome not-run", key)
		}
		if a.outcome == "ran" && a.status == http.StatusOK {
			assert.Equal(t, ran[key], 1, "%s: the response had the outcome ran", key)
		}
	}
	t.Logf("%d filings, last results %v", len(f.last), counts)
	assert.Assert(t, len(f.last) > 0)
}

func TestKilledEntryInstanceAndUpstream(t *testing.T) {
	s := startSystem(t, 4)
	f := s.sendFilingsDuring(t, func() {
		time.Sleep(time.Second)
		assert.NilError(t, s.entries[0].cmd.Process.Kill())
		time.Sleep(time.Second)
		// The ledger of the killed process is lost, so it must not be an upstream of
		// filings.
		assert.NilError(t, s.upstreams["lookup-0"].cmd.Process.Kill())
		time.Sleep(2 * time.Second)
	})
	s.checkFilings(t, f)
	for _, e := range s.entries[1:] {
		for i := range 20 {
			path := fmt.Sprintf("/read/%d", i)
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				a := sendRead(t.Context(), e.address, path)
				if a.status == http.StatusOK {
					return poll.Success()
				}
				return poll.Continue("%+v", a)
			}, poll.WithTimeout(waitTimeout))
		}
	}
}

func TestFrozenEntryInstanceRunsNoFilingTwice(t *testing.T) {
	s := startSystem(t, 4)
	f := s.sendFilingsDuring(t, func() {
		for _, e := range s.entries[:2] {
			time.Sleep(500 * time.Millisecond)
			e.signal(t, freeze)
			time.Sleep(3 * time.Second)
			e.signal(t, resume)
		}
		time.Sleep(2 * time.Second)
	})
	s.checkFilings(t, f)
	for _, e := range s.entries {
		waitServing(t, e.address)
	}
}

func TestPlatformOutage(t *testing.T) {
	s := startSystem(t, 4)
	s.setFaults(t, standinplatform.Faults{Outage: standinplatform.OutageHang})
	time.Sleep(2 * time.Second)
	f := s.sendFilingsDuring(t, func() { time.Sleep(2 * time.Second) })
	s.checkFilings(t, f)
	for key, a := range f.last {
		assert.Equal(t, a.outcome, "ran", "%s: %+v", key, a)
	}
	// A process starts with the settings of a killed one while the platform is
	// unavailable.
	assert.NilError(t, s.entries[0].cmd.Process.Kill())
	<-s.entries[0].ended
	s.entries[0].restart(t)
	waitServing(t, s.entries[0].address)
	s.setFaults(t, standinplatform.Faults{})
	for _, e := range s.entries {
		waitServing(t, e.address)
	}
}

func TestGracefulStopCompletesStreams(t *testing.T) {
	s := startSystem(t, 3)
	leaving := s.entries[0]
	streams := make(chan callResult, 10)
	for i := range cap(streams) {
		go func() {
			streams <- sendRead(t.Context(), leaving.address, fmt.Sprintf("/read/%d?bytes=8000&stream_ms=3000", i))
		}()
	}
	time.Sleep(500 * time.Millisecond)
	leaving.signal(t, stop)
	for range cap(streams) {
		a := <-streams
		assert.Equal(t, a.status, http.StatusOK, a.body)
		assert.Equal(t, len(a.body), 8000)
	}
	assert.NilError(t, leaving.wait(), "the exit code of a graceful shutdown")
	for _, e := range s.entries[1:] {
		response, err := http.Get("http://" + e.address + "/v1/entry-instances")
		assert.NilError(t, err)
		var text [4096]byte
		n, _ := response.Body.Read(text[:])
		response.Body.Close()
		assert.Assert(t, !strings.Contains(string(text[:n]), leaving.address))
	}
}
