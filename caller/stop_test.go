package caller

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"samphireferry.example/ferry/dispatch"
	"samphireferry.example/ferry/internal/smallwindow"
)

// Guards against a response that a caller gets in part, followed by a reset, because a stop closes its
// connection while a request behind it is unread and the response is on its way.
func TestCleanupDeliversResponsesToCallersThatSendAhead(t *testing.T) {
	const responseBytes = 60_000
	body := strings.Repeat("r", responseBytes)
	arrived, release := make(chan struct{}), make(chan struct{})
	f := &fakes{table: testTable(t)}
	f.response = func() (*dispatch.Response, error) {
		close(arrived)
		<-release
		return &dispatch.Response{Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(body)), ContentLength: responseBytes}, nil
	}
	server := newTestServer(f)
	server.settings.LeaveDelay = 0
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server.Provision(listener)
	conn, err := smallwindow.Dial(listener.Addr().String())
	assert.NilError(t, err)
	defer conn.Close()
	const request = "GET /read HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer key-a\r\n\r\n"
	_, err = io.WriteString(conn, request)
	assert.NilError(t, err)
	<-arrived
	_, err = io.WriteString(conn, request)
	assert.NilError(t, err)
	cleaned := make(chan error)
	go func() { cleaned <- server.Cleanup(t.Context()) }()
	<-server.stopped
	close(release)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	got, err := io.ReadAll(response.Body)
	assert.NilError(t, err, "the response ends after %d bytes", len(got))
	assert.Equal(t, string(got), body)
	assert.NilError(t, conn.Close())
	assert.NilError(t, <-cleaned)
}
