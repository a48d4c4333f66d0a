package edge

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphireferry.example/ferry/platform/headers"
)

// smuggledHead has two framings.
const smuggledHead = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n"

// exchangeRaw writes the text to a new connection and returns the statuses of all responses until the
// instance closes the connection.
func (i *instance) exchangeRaw(text string) []int {
	i.t.Helper()
	conn, err := net.Dial("tcp", i.deps.settings.Listen)
	assert.NilError(i.t, err)
	defer conn.Close()
	assert.NilError(i.t, conn.SetDeadline(time.Now().Add(20*time.Second)))
	_, err = io.WriteString(conn, text)
	assert.NilError(i.t, err)
	var statuses []int
	for reader := bufio.NewReader(conn); ; {
		method := http.MethodGet
		if strings.HasPrefix(text, http.MethodHead) {
			method = http.MethodHead
		}
		response, err := http.ReadResponse(reader, &http.Request{Method: method})
		if err != nil {
			assert.Equal(i.t, err, io.ErrUnexpectedEOF, "after %v", statuses)
			return statuses
		}
		_, err = io.Copy(io.Discard, response.Body)
		assert.NilError(i.t, err)
		statuses = append(statuses, response.StatusCode)
	}
}

// Guards against requests that run inside others (UNASKED), without the customer's name (UNASKED) or by
// the route of another path (TWICE), and against the refusal of ordinary ones.
func TestOneDecisionOnHeads(t *testing.T) {
	s := newSystem(t)
	s.configurePatient()
	b := newFakeUpstream(t, "i-1")
	i := s.startAdmitting(b)
	defer i.stop()
	const final = "Connection: close\r\n"
	read := func(path, framing, body string) string { return rawRequest(http.MethodGet, path, "a", framing, body) }
	file := func(framing, body string) string { return rawRequest(http.MethodPost, "/file/7", "a", framing, body) }
	chunked := file("Transfer-Encoding: chunked\r\n", "3\r\nfil\r\n3\r\ning\r\n0\r\n\r\n")
	smuggled := "0\r\n\r\n" + read("/read/inner", "", "")
	for name, c := range map[string]struct {
		text    string
		status  []int
		targets []string
	}{
		"pipelined":         {read("/read/1", "", "") + file("Content-Length: 6\r\n", "filing") + chunked + "\r\n" + read("/read/2", final, ""), []int{200, 200, 200, 200}, []string{"/read/1", "/file/7", "/file/7", "/read/2"}},
		"long head":         {read("/read/1", final+strings.Repeat("X-Field: value\r\n", 1800), ""), []int{200}, []string{"/read/1"}},
		"HEAD":              {rawRequest(http.MethodHead, "/read/1", "a", final, ""), []int{200}, []string{"/read/1"}},
		"escapes":           {read("/read/a%20b%2fc", "", "") + read("/read/a|b", final, ""), []int{200, 200}, []string{"/read/a%20b%2fc", "/read/a|b"}},
		"two framings":      {read("/read/1", "", "") + file("Content-Length: 90\r\nTransfer-Encoding: chunked\r\n", smuggled), []int{200, 400}, []string{"/read/1"}},
		"two lengths":       {file("Content-Length: 5\r\nContent-Length: 0\r\n", smuggled), []int{400}, nil},
		"other coding":      {file("Transfer-Encoding: gzip, chunked\r\n", smuggled), []int{400}, nil},
		"nominated":         {read("/read/1", "Connection: close, X-Tenant, X-Deadline-Ms, X-Attempt-Id, Authorization\r\nX-Tenant: other\r\n", ""), []int{200}, []string{"/read/1"}},
		"key twice":         {read("/read/1", final+"Authorization: Bearer k2\r\n", ""), []int{400}, nil},
		"other route":       {read("/read%2f1", "", "") + read("/other/%2e%2e/read/1", final, ""), []int{404, 400}, nil},
		"head too large":    {read("/read/1", "a: "+strings.Repeat("b", 64<<10)+"\r\n", ""), []int{431}, nil},
		"body never comes":  {rawRequest(http.MethodPost, "/none/7", "a", "Content-Length: 5\r\n", ""), []int{404}, nil},
		"a body that waits": {file("Content-Length: 5\r\nConnection: X-Affinity-Key\r\n", "votes") + read("/read/1", final, ""), []int{200, 200}, []string{"/file/7", "/read/1"}},
	} {
		t.Run(name, func(t *testing.T) {
			i.t = t
			before := len(b.requests())
			assert.DeepEqual(t, i.exchangeRaw(c.text), c.status)
			var targets []string
			for _, r := range b.requests()[before:] {
				targets = append(targets, r.RequestURI)
				assert.DeepEqual(t, r.Header[http.CanonicalHeaderKey(headers.Customer)], []string{"acme"})
				assert.Equal(t, r.Header.Get(headers.AttemptID), "a")
				assert.Equal(t, len(r.Header.Values("Authorization")), 0)
			}
			assert.DeepEqual(t, targets, c.targets)
		})
	}
	i.deps.settings.Listen = i.deps.settings.DirectoryListen
	assert.DeepEqual(t, i.exchangeRaw(smuggledHead), []int{http.StatusBadRequest})
	assert.DeepEqual(t, i.exchangeRaw("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\n"), []int{http.StatusNotFound})
	eventually(t, "the memory of all heads is returned", func() bool { return i.deps.buffers.Heads() == 0 })
}
