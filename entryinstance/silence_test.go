package entryinstance

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"gotest.tools/v3/assert"

	"samphireferry.example/ferry/rpc/entrypb"
)

// forwarder forwards TCP connections to a server. The connections that are open
// when silence is called stay open but carry no more data; new ones work.
type forwarder struct {
	listener net.Listener
	target   string

	mu sync.Mutex
	// silenced is shared by the connections opened since the last call of
	// silence, which sets it.
	silenced *atomic.Bool
	opened   int
	conns    []net.Conn
	finished sync.WaitGroup
}

func newForwarder(t testing.TB, target string) *forwarder {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	f := &forwarder{listener: listener, target: target, silenced: &atomic.Bool{}}
	f.finished.Add(1)
	go f.accept()
	t.Cleanup(func() {
		listener.Close()
		f.mu.Lock()
		for _, c := range f.conns {
			c.Close()
		}
		f.mu.Unlock()
		f.finished.Wait()
	})
	return f
}

func (f *forwarder) address() string { return f.listener.Addr().String() }

func (f *forwarder) accept() {
	defer f.finished.Done()
	for {
		in, err := f.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", f.target)
		if err != nil {
			in.Close()
			continue
		}
		f.mu.Lock()
		silenced := f.silenced
		f.opened++
		f.conns = append(f.conns, in, out)
		f.mu.Unlock()
		f.finished.Add(2)
		go f.copy(in, out, silenced)
		go f.copy(out, in, silenced)
	}
}

func (f *forwarder) copy(dst, src net.Conn, silenced *atomic.Bool) {
	defer f.finished.Done()
	buffer := make([]byte, 32<<10)
	for {
		n, err := src.Read(buffer)
		if silenced.Load() {
			_, _ = io.Copy(io.Discard, src)
			return
		}
		if n > 0 {
			_, _ = dst.Write(buffer[:n])
		}
		if err != nil {
			dst.Close()
			return
		}
	}
}

// silence makes the open connections silent.
func (f *forwarder) silence() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.silenced.Store(true)
	f.silenced = &atomic.Bool{}
}

// connections returns the number of connections opened so far.
func (f *forwarder) connections() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.opened
}

// silentConfig has a short SilenceTimeout.
var silentConfig = Config{SilenceTimeout: 300 * time.Millisecond}

// TestSilentConnection checks that calls on a connection that stops carrying
// data end with the code Unavailable, that a call marked with KeepOnSilence keeps
// waiting, and that the next call uses a new connection.
func TestSilentConnection(t *testing.T) {
	handler := &fakeEntry{release: make(chan struct{})}
	f := newForwarder(t, startServer(t, Config{}, handler))
	pool := newTestPool(t, silentConfig)
	client, err := pool.Client(f.address())
	assert.NilError(t, err)
	ctx := testContext(t)
	_, err = client.Heartbeat(ctx, &entrypb.State{})
	assert.NilError(t, err)

	kept, err := client.Relay(KeepOnSilence(ctx))
	assert.NilError(t, err)
	stream, err := client.Relay(ctx)
	assert.NilError(t, err)
	for _, s := range []entrypb.Entry_RelayClient{kept, stream} {
		assert.NilError(t, s.Send(&entrypb.RelayRequest{Chunk: []byte("x")}))
		_, err = s.Recv()
		assert.NilError(t, err)
	}

	f.silence()
	_, err = client.Claim(ctx, &entrypb.ClaimRequest{})
	assert.Equal(t, status.Code(err), codes.Unavailable, "a unary call ends")
	_, err = stream.Recv()
	assert.Equal(t, status.Code(err), codes.Unavailable, "a stream ends")
	_, err = client.Heartbeat(ctx, &entrypb.State{})
	assert.NilError(t, err, "the next call uses a new connection")
	assert.Equal(t, pool.SilentConnections(), uint64(1))
	assert.Equal(t, f.connections(), 2)
	assert.NilError(t, kept.Context().Err(), "a kept stream continues to wait")
}

func TestConfirm(t *testing.T) {
	f := newForwarder(t, startServer(t, Config{}, &fakeEntry{}))
	pool := newTestPool(t, silentConfig)
	ctx := testContext(t)
	assert.NilError(t, pool.Confirm(ctx, f.address(), time.Hour), "a new connection")
	f.silence()
	assert.NilError(t, pool.Confirm(ctx, f.address(), time.Hour), "data read recently enough")
	assert.ErrorContains(t, pool.Confirm(ctx, f.address(), 0), "DeadlineExceeded", "silent")
	assert.NilError(t, pool.Confirm(ctx, f.address(), 0), "a new connection again")
	assert.ErrorContains(t, pool.Confirm(ctx, "127.0.0.1:1", 0), "refused", "nobody listens")
}

func TestSlowResponseIsNotSilence(t *testing.T) {
	handler := &fakeEntry{release: make(chan struct{})}
	pool := newTestPool(t, silentConfig)
	client, err := pool.Client(startServer(t, Config{}, handler))
	assert.NilError(t, err)
	time.AfterFunc(3*silentConfig.SilenceTimeout, func() { close(handler.release) })
	response, err := client.Claim(context.Background(), &entrypb.ClaimRequest{})
	assert.NilError(t, err)
	assert.Equal(t, response.GetState(), entrypb.ClaimState_CLAIMED)
	assert.Equal(t, pool.SilentConnections(), uint64(0))
}

func TestPeerRestarts(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	first, err := NewServer(Config{}, &fakeEntry{})
	assert.NilError(t, err)
	go func() { _ = first.Serve(listener) }()
	client, err := newTestPool(t, Config{}).Client(address)
	assert.NilError(t, err)
	_, err = client.Heartbeat(testContext(t), &entrypb.State{})
	assert.NilError(t, err)
	first.Close()
	_, err = client.Heartbeat(testContext(t), &entrypb.State{})
	assert.Equal(t, status.Code(err), codes.Unavailable)
	again, err := net.Listen("tcp", address)
	assert.NilError(t, err)
	serve(t, Config{}, &fakeEntry{}, again)
	waitFor(t, func() bool {
		_, err := client.Heartbeat(testContext(t), &entrypb.State{})
		return err == nil
	})
}
