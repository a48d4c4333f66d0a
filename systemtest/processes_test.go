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

// filings sends filings to the entry instances until it is stopped, and
// repeats each one whose outcome is not final with the same key.
type filings struct {
	mu   sync.Mutex
	last map[string]answer
	// notRun holds keys of which every answer said not-run.
	notRun map[string]bool
}

func (f *filings) note(key string, a answer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.last[key] = a
	before, known := f.notRun[key]
	f.notRun[key] = a.outcome == "not-run" && (!known || before)
}

// fileDuring runs the harm while callers file through all entry instances.
func (s *system) fileDuring(t *testing.T, harm func()) *filings {
	t.Helper()
	f := &filings{last: map[string]answer{}, notRun: map[string]bool{}}
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
				s.fileOnce(t, f, worker, i)
			}
		})
	}
	harm()
	close(done)
	running.Wait()
	return f
}

func (s *system) fileOnce(t *testing.T, f *filings, worker, i int) {
	from := s.entries[(worker+i)%len(s.entries)]
	base, ok := homeOf(from.address)
	if !ok {
		time.Sleep(20 * time.Millisecond)
		return
	}
	key := fmt.Sprintf("%s.w%d-%d", base, worker, i)
	for attempt := range 3 {
		a := file(t.Context(), s.entries[(worker+i+attempt)%len(s.entries)].address, key)
		f.note(key, a)
		if a.outcome == "ran" {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func homeOf(address string) (string, bool) {
	response, err := http.Get("http://" + address + "/v1/entry-instances")
	if err != nil {
		return "", false
	}
	defer response.Body.Close()
	text := make([]byte, 4096)
	n, _ := response.Body.Read(text)
	_, rest, found := strings.Cut(string(text[:n]), `"home":"`)
	base, _, _ := strings.Cut(rest, `"`)
	return base, found && base != ""
}

// check asserts that nothing ran twice, that each refusal that said not-run was
// true, and that each answer that said ran was true.
func (s *system) check(t *testing.T, f *filings) {
	t.Helper()
	ran := s.executions()
	counts := map[string]int{}
	for key, a := range f.last {
		counts[fmt.Sprintf("%d %s", a.status, a.outcome)]++
		assert.Assert(t, ran[key] <= 1, "%s ran %d times", key, ran[key])
		if f.notRun[key] {
			assert.Equal(t, ran[key], 0, "%s: every answer said not-run", key)
		}
		if a.outcome == "ran" && a.status == http.StatusOK {
			assert.Equal(t, ran[key], 1, "%s was answered but did not run", key)
		}
	}
	t.Logf("%d filings, last answers %v", len(f.last), counts)
	assert.Assert(t, len(f.last) > 0)
}

func TestKilledEntryInstanceAndUpstream(t *testing.T) {
	s := startSystem(t, 4)
	f := s.fileDuring(t, func() {
		time.Sleep(time.Second)
		assert.NilError(t, s.entries[0].cmd.Process.Kill())
		time.Sleep(time.Second)
		// The ledger of the killed process is lost; it must be an upstream of reads.
		assert.NilError(t, s.upstreams["lookup-0"].cmd.Process.Kill())
		time.Sleep(2 * time.Second)
	})
	s.check(t, f)
	for _, e := range s.entries[1:] {
		for i := range 20 {
			path := fmt.Sprintf("/read/%d", i)
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				a := read(t.Context(), e.address, path)
				if a.status == http.StatusOK {
					return poll.Success()
				}
				return poll.Continue("%+v", a)
			}, poll.WithTimeout(waitTimeout))
		}
	}
}

func TestFrozenEntryInstanceDoesNothingTwice(t *testing.T) {
	s := startSystem(t, 4)
	f := s.fileDuring(t, func() {
		for _, e := range s.entries[:2] {
			time.Sleep(500 * time.Millisecond)
			e.signal(t, freeze)
			time.Sleep(3 * time.Second)
			e.signal(t, resume)
		}
		time.Sleep(2 * time.Second)
	})
	s.check(t, f)
	for _, e := range s.entries {
		waitServing(t, e.address)
	}
}

func TestPlatformOutage(t *testing.T) {
	s := startSystem(t, 4)
	s.setFaults(t, standinplatform.Faults{Outage: standinplatform.OutageHang})
	time.Sleep(2 * time.Second)
	f := s.fileDuring(t, func() { time.Sleep(2 * time.Second) })
	s.check(t, f)
	for key, a := range f.last {
		assert.Equal(t, a.outcome, "ran", "%s: %+v", key, a)
	}
	// A process starts at the address of an earlier one, without the platform.
	assert.NilError(t, s.entries[0].cmd.Process.Kill())
	<-s.entries[0].ended
	s.entries[0].restart(t)
	waitServing(t, s.entries[0].address)
	s.setFaults(t, standinplatform.Faults{})
	for _, e := range s.entries {
		waitServing(t, e.address)
	}
}

func TestStopUnderLongStreams(t *testing.T) {
	s := startSystem(t, 3)
	leaving := s.entries[0]
	streams := make(chan answer, 10)
	for i := range cap(streams) {
		go func() {
			streams <- read(t.Context(), leaving.address, fmt.Sprintf("/read/%d?bytes=8000&stream_ms=3000", i))
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
