package upstream_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// stage is the point in the second request at which the server closes the
// connection.
type stage int

const (
	closeIdle stage = iota
	closeOnFirstByte
	closeInHeader
	closeAfterHeader
	closeAfterBody
	closeInStatusLine
	closeInResponseHeader
	closeInResponseBody
	stageCount
)

// closingServer responds to the first request of its first connection and closes
// that connection at a stage of the second request.
type closingServer struct {
	listener net.Listener
	stage    stage
	// secondRequests counts the requests for /second of which any byte was received.
	secondRequests atomic.Int32
	running        sync.WaitGroup
	// closed is closed after the connection was closed at closeIdle.
	closed chan struct{}
}

func newClosingServer(t *testing.T, at stage) *closingServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &closingServer{listener: listener, stage: at, closed: make(chan struct{})}
	s.running.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.running.Go(func() { s.serve(conn) })
		}
	})
	t.Cleanup(func() {
		listener.Close()
		s.running.Wait()
	})
	return s
}

func (s *closingServer) serve(conn net.Conn) {
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	reader := bufio.NewReader(conn)
	first, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, first.Body)
	if first.URL.Path != "/first" {
		s.secondRequests.Add(1)
		return
	}
	fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	if s.stage == closeIdle {
		conn.Close()
		close(s.closed)
		return
	}
	if _, err := reader.ReadByte(); err != nil {
		return
	}
	s.secondRequests.Add(1)
	s.closeAt(conn, reader)
}

func (s *closingServer) closeAt(conn net.Conn, reader *bufio.Reader) {
	switch s.stage {
	case closeOnFirstByte:
	case closeInHeader:
		_, _ = reader.ReadString('\n')
	case closeAfterHeader:
		readHeader(reader)
	default:
		readHeader(reader)
		_, _ = io.CopyN(io.Discard, reader, int64(min(reader.Buffered(), 4)))
	}
	switch s.stage {
	case closeInStatusLine:
		fmt.Fprint(conn, "HTTP/1.")
	case closeInResponseHeader:
		fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Le")
	case closeInResponseBody:
		fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf")
	}
}

func readHeader(reader *bufio.Reader) {
	for {
		line, err := reader.ReadString('\n')
		if err != nil || line == "\r\n" {
			return
		}
	}
}
