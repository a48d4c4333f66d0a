package headgate

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"samphireferry.example/ferry/buffers"
	"samphireferry.example/ferry/errkind"
	"samphireferry.example/ferry/requesthead"
)

// pieces is a source that returns its text in pieces of a size.
type pieces struct {
	text string
	size int
}

func (s *pieces) Read(p []byte) (int, error) {
	if s.text == "" {
		return 0, io.EOF
	}
	n := copy(p, s.text[:min(s.size, len(s.text))])
	s.text = s.text[n:]
	return n, nil
}

func (*pieces) SetReadDeadline(time.Time) error { return nil }

// options returns options that record the refusals.
func options(limits requesthead.Limits, budget *buffers.Budget) (*Options, *[]requesthead.Reason) {
	reasons := &[]requesthead.Reason{}
	return &Options{Limits: limits, Timeout: time.Second, Budget: budget, Count: func(r requesthead.Reason) { *reasons = append(*reasons, r) }}, reasons
}

// serve reads all requests of the gate as the server does, and returns the targets and bodies of those
// that were accepted, and the refusal.
func serve(t *testing.T, g *Gate) (served []string, refusal error) {
	t.Helper()
	reader := bufio.NewReader(g)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return served, refusal
		}
		_, err = g.Take(r)
		if err != nil {
			return served, err
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return served, err
		}
		served = append(served, r.RequestURI+" "+string(body))
		g.Next()
	}
}

// Guards against a request that is not found behind another one, and against one that runs although it
// was only sent inside another one (UNASKED).
func TestRequestsOfAConnection(t *testing.T) {
	const host = " HTTP/1.1\r\nHost: a.example\r\n"
	get, after := "GET /a"+host+"\r\n", "GET /z"+host+"\r\n"
	post := "POST /b" + host + "Content-Length: 5\r\n\r\nhello"
	chunks := "PUT /c" + host + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n6;x=y\r\n world\r\n0\r\nA: b\r\n\r\n"
	long := "GET /long" + host + strings.Repeat("Field: value\r\n", 1000) + "\r\n"
	smuggled := "POST /d" + host + "Content-Length: 50\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
	few := requesthead.Limits{Bytes: 32 << 10, Lines: 2000, EmptyLines: 3}
	for name, c := range map[string]struct {
		text   string
		want   []string
		reason requesthead.Reason
	}{
		"all kinds":                        {get + post + chunks + long + post + after, []string{"/a ", "/b hello", "/c hello world", "/long ", "/b hello", "/z "}, ""},
		"empty lines":                      {"\r\n\n\r\n" + post + "\r\n" + get + "\n\n\n" + chunks + after, []string{"/b hello", "/a ", "/c hello world", "/z "}, ""},
		"too many empty lines":             {get + "\r\n\r\n\n\n\n" + after, []string{"/a "}, requesthead.TooManyEmptyLines},
		"a carriage return":                {"\rGET /a" + host + "\r\n", nil, requesthead.BadSyntax},
		"smuggled":                         {get + post + smuggled + after, []string{"/a ", "/b hello"}, requesthead.AmbiguousFraming},
		"smuggled first":                   {smuggled + after, nil, requesthead.AmbiguousFraming},
		"too many lines":                   {get + "GET /a" + host + strings.Repeat("a:\n", 3000) + "\r\n" + after, []string{"/a "}, requesthead.TooManyLines},
		"no end":                           {get + "GET /a" + host + "a:" + strings.Repeat("b", 64<<10), []string{"/a "}, requesthead.TooManyBytes},
		"a body that ends early":           {get + "POST /b" + host + "Content-Length: 5\r\n\r\nhel", []string{"/a "}, ""},
		"behind a malformed chunk nothing": {"PUT /c" + host + "Transfer-Encoding: chunked\r\n\r\n5\r\nhelloX0\r\n\r\n" + after, nil, ""},
	} {
		for _, size := range []int{1, 2, 3, 50, 1 << 20} {
			o, reasons := options(few, buffers.New(buffers.Limits{Bytes: 1 << 20}))
			g := New(&pieces{text: c.text, size: size}, o)
			served, refusal := serve(t, g)
			assert.DeepEqual(t, served, c.want)
			if c.reason != "" {
				assert.DeepEqual(t, *reasons, []requesthead.Reason{c.reason})
				assert.Equal(t, refusal.(*requesthead.Refusal).Reason, c.reason, "%s in pieces of %d", name, size)
				_, err := g.Read(make([]byte, 1))
				assert.Equal(t, err, io.EOF, "nothing behind the head is read")
			} else {
				assert.Equal(t, len(*reasons), 0)
			}
			g.Release()
			held, _ := o.Budget.Held()
			assert.Equal(t, held, int64(0), name)
		}
	}
}

// Guards against a head that the handler serves although another one was inspected.
func TestARequestOutOfStepIsRefused(t *testing.T) {
	o, reasons := options(requesthead.LimitsFor(32<<10, 0, 0), buffers.New(buffers.Limits{Bytes: 1 << 20}))
	g := New(&pieces{text: "GET /a HTTP/1.1\r\nHost: a\r\n\r\n", size: 1000}, o)
	r, err := http.ReadRequest(bufio.NewReader(g))
	assert.NilError(t, err)
	r.RequestURI = "/b"
	_, err = g.Take(r)
	assert.Equal(t, errkind.Of(err), errkind.BadRequest)
	r.RequestURI = "/a"
	_, err = g.Take(r)
	assert.NilError(t, err)
	_, err = g.Take(r)
	assert.Equal(t, errkind.Of(err), errkind.BadRequest, "a head is taken once")
	assert.Assert(t, slices.Contains(*reasons, requesthead.OutOfStep))
}

// Guards against heads that fill the memory: those of many lines are refused or ended, and ordinary ones
// are accepted beside them.
func TestHeadsShareABudget(t *testing.T) {
	const clients, headLimit = 50, 2 << 20
	many := "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n"
	for i := range 3000 {
		many += fmt.Sprintf("%x:\r\n", i)
	}
	o, reasons := options(requesthead.LimitsFor(32<<10, 0, 0), buffers.New(buffers.Limits{Bytes: 8 << 20, Heads: headLimit}))
	accepted := 0
	for range clients {
		g := New(&pieces{text: many + "\r\n", size: 1000}, o)
		r, err := http.ReadRequest(bufio.NewReader(g))
		assert.NilError(t, err)
		_, err = g.Take(r)
		if err == nil {
			accepted++
			defer g.Release()
			continue
		}
		assert.Equal(t, errkind.Of(err), errkind.Overloaded)
		assert.Assert(t, errkind.RetryAfterOf(err) > 0)
	}
	assert.Assert(t, accepted > 0 && accepted < 4, "%d heads", accepted)
	assert.Equal(t, len(*reasons), clients-accepted)
	assert.Assert(t, o.Budget.Heads() <= headLimit)
	served, err := serve(t, New(&pieces{text: "GET /a HTTP/1.1\r\nHost: a\r\n\r\n", size: 1000}, o))
	assert.NilError(t, err)
	assert.DeepEqual(t, served, []string{"/a "})
}

// Guards against a head that is sent byte by byte for as long as an unused connection may stay open.
func TestAHeadHasToArriveInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o, reasons := options(requesthead.LimitsFor(32<<10, 0, 0), buffers.New(buffers.Limits{Bytes: 1 << 20}))
		caller, accepted := net.Pipe()
		defer caller.Close()
		g := New(accepted, o)
		var writing sync.WaitGroup
		writing.Go(func() {
			for {
				if _, err := caller.Write([]byte("a")); err != nil {
					return
				}
				time.Sleep(100 * time.Millisecond)
			}
		})
		began := time.Now()
		_, err := http.ReadRequest(bufio.NewReader(g))
		assert.Assert(t, err != nil)
		assert.Equal(t, time.Since(began), o.Timeout)
		assert.DeepEqual(t, *reasons, []requesthead.Reason{requesthead.TooSlow})
		g.Release()
		_ = accepted.Close()
		writing.Wait()
	})
}

// Guards against the loss of the first byte of the next request, which the server reads while it serves
// one.
func TestTheServerReadsOneByteAhead(t *testing.T) {
	for name, next := range map[string]string{"a request": "GET /b HTTP/1.1\r\nHost: a\r\n\r\n", "a refused one": "GET /b HTTP/1.1\r\nA\r\n\r\n"} {
		o, _ := options(requesthead.LimitsFor(32<<10, 0, 0), buffers.New(buffers.Limits{Bytes: 1 << 20}))
		g := New(&pieces{text: "GET /a HTTP/1.1\r\nHost: a\r\n\r\n\r\n" + next, size: 28}, o)
		r, err := http.ReadRequest(bufio.NewReader(g))
		assert.NilError(t, err)
		_, err = g.Take(r)
		assert.NilError(t, err)
		var ahead [1]byte
		n, err := g.Read(ahead[:])
		assert.NilError(t, err)
		assert.Equal(t, string(ahead[:n]), "G")
		assert.Assert(t, g.IsAhead())
		g.Next()
		r, err = http.ReadRequest(bufio.NewReader(io.MultiReader(strings.NewReader("G"), g)))
		assert.NilError(t, err)
		_, err = g.Take(r)
		assert.Equal(t, err != nil, name == "a refused one")
		assert.Assert(t, !g.IsAhead())
	}
}

// BenchmarkOrdinaryRequest measures the processor time that the gate adds to a request of 12 lines.
func BenchmarkOrdinaryRequest(b *testing.B) {
	text := "GET /lookup/7 HTTP/1.1\r\nHost: a.example\r\n" + strings.Repeat("X-Some-Field: some value of the field\r\n", 10) + "\r\n"
	o, _ := options(requesthead.LimitsFor(32<<10, 0, 0), buffers.New(buffers.Limits{Bytes: 1 << 20}))
	s := &pieces{size: 4096}
	g := New(s, o)
	p := make([]byte, 4096)
	for b.Loop() {
		s.text = text
		if _, err := g.Read(p); err != nil {
			b.Fatal(err)
		}
		g.Next()
	}
}
