package edge

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"

	"samphireferry.example/ferry/platform/headers"
)

// retryAfter returns the Retry-After of a response in seconds.
func (r clientResponse) retryAfter(t *testing.T) float64 {
	t.Helper()
	seconds, err := strconv.ParseFloat(r.header.Get(headers.RetryAfter), 64)
	assert.NilError(t, err)
	return seconds
}

// Guards against requests to an upstream before the time that it stated with a refusal, and
// against callers that come back before it.
func TestAnUpstreamGetsNoRequestsBeforeItsRetryAfter(t *testing.T) {
	const stated = 25.0
	for _, status := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			s := newSystem(t)
			s.configure(1, "k1")
			b := newFakeUpstream(t, "i-1")
			s.register(b, "v1", "ready")
			i := s.start("e1")
			defer i.stop()
			i.waitReady(1)
			b.respondWith(status, true, headers.RetryAfter, fmt.Sprint(stated))
			last := stated
			for n := range 20 {
				got := i.sendAbout(http.MethodGet, "/read/7", "k1", fmt.Sprint(n))
				assert.Equal(t, got.status, http.StatusServiceUnavailable)
				after := got.retryAfter(t)
				assert.Assert(t, after > 0.3 && after <= last, "%v after %v", after, last)
				last = after
				assert.Equal(t, i.sendAbout(http.MethodPost, "/file/7", "k1", fmt.Sprint(n)).status, http.StatusServiceUnavailable)
			}
			assert.Equal(t, len(b.requests()), 1)
		})
	}
}

// While another upstream of the object may be asked, callers are told to come back soon.
func TestOtherUpstreamsServeWhileOneIsPaused(t *testing.T) {
	s := newSystem(t)
	s.configure(1, "k1")
	refusing, other := newFakeUpstream(t, "i-1"), newFakeUpstream(t, "i-2")
	s.register(refusing, "v1", "ready")
	s.register(other, "v1", "ready")
	i := s.start("e1")
	defer i.stop()
	i.waitReady(2)
	refusing.respondWith(http.StatusServiceUnavailable, true, headers.RetryAfter, "25")
	for n := range 20 {
		assert.Equal(t, i.sendAbout(http.MethodPost, "/file/7", "k1", fmt.Sprint(n)).status, http.StatusOK)
	}
	assert.Equal(t, len(refusing.requests()), 1)
}

// A Retry-After that states nothing usable leaves the pause and the time as they are.
func TestAnUnusableRetryAfterChangesNothing(t *testing.T) {
	for _, text := range []string{"0", "-3", "soon", ""} {
		t.Run(text, func(t *testing.T) {
			s := newSystem(t)
			s.configure(1, "k1")
			b := newFakeUpstream(t, "i-1")
			s.register(b, "v1", "ready")
			i := s.start("e1")
			defer i.stop()
			i.waitReady(1)
			b.respondWith(http.StatusServiceUnavailable, true, headers.RetryAfter, text)
			assert.Equal(t, i.send(http.MethodGet, "/read/7", "k1").header.Get(headers.RetryAfter), "0.30")
			i.sendUntil("it gets requests again", func() bool { return len(b.requests()) > 1 })
		})
	}
}

// The response of an upstream that ran the request is delivered without its Retry-After: the
// caller's next request may go to another upstream.
func TestADeliveredFailureHasNoRetryAfterOfTheUpstream(t *testing.T) {
	s := newSystem(t)
	s.configure(1, "k1")
	b := newFakeUpstream(t, "i-1")
	s.register(b, "v1", "ready")
	i := s.start("e1")
	defer i.stop()
	i.waitReady(1)
	b.respondWith(http.StatusInternalServerError, false, headers.RetryAfter, "25")
	for range 2 {
		got := i.send(http.MethodPost, "/file/7", "k1")
		assert.Equal(t, got.status, http.StatusInternalServerError)
		assert.Equal(t, got.header.Get(headers.RetryAfter), "")
	}
	assert.Equal(t, len(b.requests()), 2, "only refusals pause an upstream")
}
