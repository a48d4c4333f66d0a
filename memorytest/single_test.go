package memorytest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// legalRequests are requests at the limits of what callers may send.
func legalRequests() map[string]string {
	const bodyBytes = 200_000
	body := strings.Repeat("b", bodyBytes)
	post := strings.Replace(postStart, "1000", "200000", 1)
	chunked := strings.Replace(chunkedStart, "/read/slow", "/read/7", 1)
	return map[string]string{
		"head of many lines":          head(getStart, headerBytes-100) + headEnd,
		"head of one line":            getStart + "a: " + strings.Repeat("b", headerBytes-1000) + "\r\n" + headEnd,
		"head of many lines and body": head(post, headerBytes-100) + headEnd + body,
		"trailers":                    chunked + headEnd + "5\r\nhello\r\n0\r\n" + head("", 3_000) + headEnd,
		"long response":               strings.Replace(getStart, "/read/7", "/read/long", 1) + headEnd,
	}
}

// Guards against limits of memory that a single caller meets who keeps to the limits of requests.
func TestASingleRequestIsServedInCalm(t *testing.T) {
	for name, start := range map[string]func(*testing.T) *instance{
		"edge":  func(t *testing.T) *instance { return startEdge(t) },
		"entry": startEntry,
	} {
		i := start(t)
		for request, text := range legalRequests() {
			t.Run(name+", "+request, func(t *testing.T) {
				conn, err := net.Dial("tcp", i.callers)
				assert.NilError(t, err)
				defer conn.Close()
				_, err = io.WriteString(conn, text)
				assert.NilError(t, err)
				response, err := http.ReadResponse(bufio.NewReader(conn), nil)
				assert.NilError(t, err)
				_, err = io.Copy(io.Discard, response.Body)
				assert.NilError(t, err)
				assert.Equal(t, response.StatusCode, http.StatusOK)
			})
		}
	}
}
