package upstream

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// recordingConn counts the bytes written to it.
type recordingConn struct {
	net.Conn
	written int
}

func (c *recordingConn) Write(p []byte) (int, error) {
	c.written += len(p)
	return len(p), nil
}

// TestOnlyRunningAttemptWritesToItsConnection guards against a second or a late
// transmission: a process that resumes after a pause, or a retry inside net/http,
// must write only on the bound connection of a running attempt and only before
// its deadline.
func TestOnlyRunningAttemptWritesToItsConnection(t *testing.T) {
	now := time.Now()
	cases := []struct {
		name  string
		setUp func(a *attempt, c *conn)
		want  error
	}{
		{"running", func(a *attempt, c *conn) { a.bind(c, false, true) }, nil},
		{"not bound", func(*attempt, *conn) {}, errConnUnusable},
		{"not usable", func(a *attempt, c *conn) { a.bind(c, true, false) }, errConnUnusable},
		{"paused beyond the deadline", func(a *attempt, c *conn) {
			a.bind(c, false, true)
			a.deadline = now.Add(-time.Millisecond)
		}, errDeadline},
		{"ended", func(a *attempt, c *conn) {
			a.bind(c, false, true)
			assert.Assert(t, !a.seal())
		}, errSealed},
		// Guards against requests that are sent although their caller has left (GONE).
		{"context that finds its end when it is asked", func(a *attempt, c *conn) {
			a.ctx = endedContext{t.Context()}
			a.bind(c, false, true)
		}, context.Canceled},
		{"second connection after a byte", func(a *attempt, c *conn) {
			first := newConn(&recordingConn{}, now)
			a.bind(first, true, true)
			_, err := first.Write([]byte("x"))
			assert.NilError(t, err)
			a.bind(c, true, true)
		}, errConnUnusable},
		{"second connection before any byte", func(a *attempt, c *conn) {
			a.bind(newConn(&recordingConn{}, now), true, false)
			a.bind(c, false, true)
		}, nil},
	}
	for _, tc := range cases {
		inner := &recordingConn{}
		c := newConn(inner, now)
		a := newAttempt(t.Context(), now.Add(time.Hour))
		tc.setUp(a, c)
		_, err := c.Write([]byte("request"))
		assert.Equal(t, err, tc.want, tc.name)
		assert.Equal(t, inner.written > 0, tc.want == nil, tc.name)
	}
}

// endedContext is a context that reports its end before its Done channel is closed.
type endedContext struct{ context.Context }

// Err implements context.Context.
func (endedContext) Err() error { return context.Canceled }

// TestARefusalIsOwnedOnlyAfterAcceptedResponses guards against trusting an earlier refusal
// without an id: a request may be given the connection before the response to the one before
// it has been looked at.
func TestARefusalIsOwnedOnlyAfterAcceptedResponses(t *testing.T) {
	c := newConn(&recordingConn{}, time.Now())
	bind := func() *attempt {
		a := newAttempt(t.Context(), time.Time{})
		a.bind(c, true, true)
		return a
	}
	accepted := bind()
	assert.Assert(t, accepted.ownsRefusal())
	accepted.markChecked()
	refused := bind()
	assert.Assert(t, refused.ownsRefusal())
	next := bind()
	assert.Assert(t, !next.ownsRefusal())
	next.markChecked()
	assert.Assert(t, !bind().ownsRefusal(), "the refusal may still come once more")
}

// TestIdleConnectionIsUsedOnlyOnceItIsRead guards against a request on a connection whose
// reader still holds bytes that followed the last response.
func TestIdleConnectionIsUsedOnlyOnceItIsRead(t *testing.T) {
	cases := []struct {
		name string
		// next is what net/http does with the connection after the response.
		next func(c *conn)
		want bool
	}{
		{"nothing is left", func(c *conn) { _, _ = c.Read(make([]byte, 1)) }, true},
		{"bytes are left", func(c *conn) { _ = c.Close() }, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				inner, remote := net.Pipe()
				c := newConn(inner, time.Now())
				usable := make(chan bool, 1)
				go func() { usable <- c.awaitIdle() }()
				synctest.Wait()
				assert.Equal(t, len(usable), 0)
				go tc.next(c)
				assert.Equal(t, <-usable, tc.want)
				_ = remote.Close()
				_ = c.Close()
			})
		})
	}
}
