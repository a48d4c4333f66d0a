package entryinstance

import (
	"fmt"
	"net"
	"os"
	"testing"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
	"gotest.tools/v3/assert"

	"samphireferry.example/ferry/rpc/entrypb"
)

// Guards against calls whose header fields fill the memory of the server, and against connections without
// number. The process test of package memorytest shows both.
func TestFieldsAndConnectionsAreBounded(t *testing.T) {
	config := Config{MaxConnections: 1}
	server, err := NewServer(config, &entrypb.UnimplementedEntryServer{})
	assert.NilError(t, err)
	listener, err := Listen(config, "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	pool, err := NewPool(config)
	assert.NilError(t, err)
	client, err := pool.Client(listener.Addr().String())
	assert.NilError(t, err)
	_, err = client.Heartbeat(t.Context(), &entrypb.State{})
	assert.Equal(t, status.Code(err), codes.Unimplemented)
	fields := metadata.MD{}
	for n := range maxFieldBytes / 32 {
		fields.Set(fmt.Sprintf("x-%d", n), "")
	}
	_, err = client.Heartbeat(metadata.NewOutgoingContext(t.Context(), fields), &entrypb.State{})
	assert.Assert(t, status.Code(err) != codes.Unimplemented, "the call was served")
	// The second connection is accepted by the kernel only, until the first one is closed.
	second, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	defer second.Close()
	assert.NilError(t, second.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
	_, err = second.Read(make([]byte, 1))
	assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
	_, err = client.Heartbeat(t.Context(), &entrypb.State{})
	assert.Equal(t, status.Code(err), codes.Unimplemented, "the first goes on")
	pool.Close()
	assert.NilError(t, second.SetReadDeadline(time.Time{}))
	_, err = second.Read(make([]byte, 1))
	assert.NilError(t, err)
	assert.Equal(t, MaxConnectionsFor(64<<20), 256)
}
