package upstream_test

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	standin "samphireferry.example/ferry/standin/upstream"
	"samphireferry.example/ferry/upstream"
)

func TestDropClosesTheConnectionsOfTheNamedUpstreamsOnly(t *testing.T) {
	var opened atomic.Int32
	server := httptest.NewUnstartedServer(standin.New(standin.Options{Name: "u1", Slots: 4}))
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			opened.Add(1)
		}
	}
	server.Start()
	defer server.Close()
	client := upstream.New(upstream.Options{})
	defer client.Close()
	for _, test := range []struct {
		drop string
		want int32
	}{{"", 1}, {"u2", 1}, {"u1", 2}, {"", 2}} {
		client.Drop(test.drop)
		response, err := client.Send(withTimeout(t, 5*time.Second), newTarget(server), echoService, newRequest(false, "/a", ""))
		assert.NilError(t, err)
		_, err = io.Copy(io.Discard, response.Body)
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
		assert.Equal(t, opened.Load(), test.want, "after dropping %q", test.drop)
	}
}
