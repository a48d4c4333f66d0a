package upstream

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

var (
	errConnUnusable = errors.New("connection is not usable for this attempt")
	errSealed       = errors.New("attempt has ended")
	errDeadline     = errors.New("deadline passed before the request was written")
	errConnEnded    = errors.New("the connection ended while the request was being sent")
)

// conn is a connection that writes only for the attempt that it is bound to.
type conn struct {
	net.Conn
	opened time.Time
	// lastRead is the time of the last byte read, in nanoseconds since opened.
	lastRead atomic.Int64
	attempt  atomic.Pointer[attempt]
	// unchecked counts the attempts that were bound to the connection and whose responses have
	// not been accepted.
	unchecked atomic.Int64

	// done is closed once the connection is closed here.
	done chan struct{}
	// onClose is called when the connection is closed here; nil for nothing.
	onClose func()

	mu sync.Mutex
	// reading is set while a Read is in progress.
	reading bool
	closed  bool
	// changed is signalled when reading or closed becomes true.
	changed sync.Cond
}

func newConn(inner net.Conn, now time.Time) *conn {
	c := &conn{Conn: inner, opened: now, done: make(chan struct{})}
	c.changed.L = &c.mu
	return c
}

// lastContact returns the time of the last byte read, or of the opening when
// none has been read.
func (c *conn) lastContact() time.Time {
	return c.opened.Add(time.Duration(c.lastRead.Load()))
}

// Read reads from the upstream and records the time of contact. It returns io.EOF only if the
// upstream has closed the connection without a reset.
func (c *conn) Read(p []byte) (int, error) {
	c.setReading(true)
	n, err := c.Conn.Read(p)
	c.setReading(false)
	if err == io.EOF && c.wasReset() {
		err = syscall.ECONNRESET
	}
	if n > 0 {
		c.lastRead.Store(int64(time.Since(c.opened)))
	}
	return n, err
}

// wasReset reports whether the upstream may have reset the connection. The kernel reports a
// reset to one call only; if that is a write, a read sees a plain end. The state of the socket
// still shows which it was, unless the failed write has led to its close here.
func (c *conn) wasReset() bool {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return true
	}
	closed := true
	err = raw.Control(func(fd uintptr) {
		info, infoErr := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		closed = infoErr != nil || info.State == unix.BPF_TCP_CLOSE
	})
	return err != nil || closed
}

func (c *conn) setReading(reading bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = reading
	c.changed.Broadcast()
}

// Close closes the connection.
func (c *conn) Close() error {
	c.mu.Lock()
	if !c.closed {
		c.closed = true
		close(c.done)
		if c.onClose != nil {
			c.onClose()
		}
	}
	c.changed.Broadcast()
	c.mu.Unlock()
	return c.Conn.Close()
}

// awaitIdle reports whether an idle connection holds no bytes beyond the last response.
// net/http reads from an idle connection as soon as its buffer is empty, and closes it if
// the buffer holds bytes; awaitIdle waits for either.
func (c *conn) awaitIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for !c.reading && !c.closed {
		c.changed.Wait()
	}
	return !c.closed
}

// receivedNothing reports whether the kernel holds neither bytes nor the end of the connection.
// The reader of net/http may not have run since they arrived, and a request that is written on
// a connection that the upstream has closed has an unknown outcome.
func (c *conn) receivedNothing() bool {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	var peeked error
	// Control, unlike Read, does not wait for the Read in progress.
	err = raw.Control(func(fd uintptr) {
		_, _, peeked = unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	return err == nil && errors.Is(peeked, unix.EAGAIN)
}

// Write writes only while the attempt that the connection is bound to allows it.
//
// The upstream may have responded before it closed the connection. net/http drops a response when
// it sees a failed write first, so Write returns the failure only once the reader, which meets the
// end of the connection too, or the end of the attempt has closed the connection.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.write(p)
	if err != nil && !isRejection(err) {
		<-c.done
	}
	return n, err
}

// isRejection reports whether the attempt, and not the connection, has failed the write.
func isRejection(err error) bool {
	return errors.IsAny(err, errConnUnusable, errSealed, errDeadline, context.Canceled, context.DeadlineExceeded)
}

// write is Write without the wait after a failure.
func (c *conn) write(p []byte) (int, error) {
	a := c.attempt.Load()
	if a == nil {
		return 0, errConnUnusable
	}
	if err := a.beginWrite(c, time.Now()); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	a.endWrite(n)
	return n, err
}

// attempt tracks the connection and the writes of one request.
type attempt struct {
	// ctx is the context of the request. No byte is written once it has ended.
	ctx context.Context
	// deadline is the time after which no byte is written.
	deadline time.Time

	mu     sync.Mutex
	bound  *conn
	reused bool
	// earlierAccepted is set when all earlier responses on the connection were accepted.
	earlierAccepted bool
	unusable        bool
	sealed          bool
	writing         bool
	written         int64
}

func newAttempt(ctx context.Context, deadline time.Time) *attempt {
	return &attempt{ctx: ctx, deadline: deadline}
}

// bind assigns the connection to the attempt. When usable is false, or after the
// first byte has been written or the attempt has ended, the connection is
// rejected and writes to it fail.
func (a *attempt) bind(c *conn, reused, usable bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reused = reused
	a.unusable = !usable || a.written > 0 || a.writing || a.sealed
	if a.unusable {
		c.attempt.Store(nil)
		return
	}
	a.bound = c
	a.earlierAccepted = c.unchecked.Add(1) == 1
	c.attempt.Store(a)
}

// beginWrite marks a write as running, or returns why the attempt must not write
// to the connection.
func (a *attempt) beginWrite(c *conn, now time.Time) error {
	if err := a.ctx.Err(); err != nil {
		return err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.sealed {
		return errSealed
	}
	if a.unusable || a.bound != c {
		return errConnUnusable
	}
	if now.After(a.deadline) {
		return errDeadline
	}
	a.writing = true
	return nil
}

func (a *attempt) endWrite(n int) {
	a.mu.Lock()
	a.writing = false
	a.written += int64(n)
	a.mu.Unlock()
}

// bodyConn returns the connection for which the request body may be read, or nil if there is none.
func (a *attempt) bodyConn() *conn {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.unusable || a.sealed {
		return nil
	}
	return a.bound
}

// usedPooledConn reports whether the latest connection of the attempt came from
// the pool.
func (a *attempt) usedPooledConn() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.reused
}

// seal rejects all further writes and reports whether any byte may have been
// written.
func (a *attempt) seal() (wrote bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sealed = true
	return a.writing || a.written > 0
}

// markChecked records that the response was accepted as that of this attempt.
func (a *attempt) markChecked() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.bound != nil {
		a.bound.unchecked.Add(-1)
	}
}

// ownsRefusal reports whether a refusal without an id can only be that of this request. A
// request may be given the connection before closeConn is called for the one before it.
func (a *attempt) ownsRefusal() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.earlierAccepted
}

// closeConn closes the connection of the attempt after a response that does not belong to its
// request, or that may come once more without being recognised. net/http keeps it open for
// other requests when the response has no body, and each of them would get the response to
// the one before it.
func (a *attempt) closeConn() {
	a.mu.Lock()
	bound := a.bound
	a.mu.Unlock()
	if bound != nil {
		_ = bound.Close()
	}
}
