package headgate

import (
	"bytes"
	"io"
	"net/http"
	"os"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"samphireferry.example/ferry/buffers"
	"samphireferry.example/ferry/errkind"
	"samphireferry.example/ferry/requesthead"
)

// Options are what the gates of a process share.
type Options struct {
	Limits requesthead.Limits
	// Timeout bounds the time from the first byte of a head to its end.
	Timeout time.Duration
	Budget  *buffers.Budget
	// Count counts a refusal.
	Count func(requesthead.Reason)
}

// Source is the connection that a gate reads.
type Source interface {
	io.Reader
	SetReadDeadline(time.Time) error
}

const (
	// firstBuffer is the size of the first buffer of a head that does not arrive at once, in bytes.
	firstBuffer = 2 << 10
	// memoryRetryAfter is how long callers wait after a refusal for lack of memory.
	memoryRetryAfter = 1 * time.Second
	// substitute is what the server gets in place of a refused head. It is never served.
	substitute = "GET / HTTP/1.1\r\nHost: refused\r\nConnection: close\r\n\r\n"
)

// errPastRequest is a read of the server behind the end of a request that it still serves.
var errPastRequest = errors.New("read past the end of the request")

// Gate passes on the requests of one connection. Its methods are called by the goroutines of net/http
// for the connection, one at a time, but for Release, which any goroutine may call.
type Gate struct {
	options *Options
	source  Source

	// in is what has been read and not been passed on. Its first byte has been passed on if lead is
	// set.
	in   []byte
	lead bool
	// out is what has been accepted and not been passed on.
	out []byte
	// scanner inspects the head that arrives, begun whether a part of it has arrived, and emptyLines
	// counts the empty lines before it.
	scanner    requesthead.Scanner
	begun      bool
	emptyLines int
	// busy is set from the end of a head until Next. The fields behind it belong to its request.
	busy    bool
	taken   bool
	body    requesthead.Body
	raw     requesthead.Raw
	refusal *requesthead.Refusal
	// refused is set once a head has been refused, so that nothing more is read.
	refused atomic.Bool
	// held is the memory of the head, and of the bodies that the handler adds.
	held atomic.Pointer[buffers.Holder]
}

// New returns the gate of a connection.
func New(source Source, options *Options) *Gate {
	return &Gate{options: options, source: source, scanner: requesthead.NewScanner(options.Limits)}
}

// Read implements io.Reader for the server.
func (g *Gate) Read(p []byte) (int, error) {
	switch {
	case len(p) == 0:
		return 0, nil
	case len(g.out) > 0:
		return g.passOn(p), nil
	case g.refused.Load():
		return 0, io.EOF
	case !g.busy:
		return g.readHead(p)
	case !g.body.Ended():
		return g.readBody(p)
	case len(p) == 1:
		return g.readAhead(p)
	}
	return 0, errPastRequest
}

func (g *Gate) passOn(p []byte) int {
	n := copy(p, g.out)
	g.out = g.out[n:]
	if len(g.out) == 0 {
		g.out = nil
	}
	return n
}

// IsAhead reports whether the last read returned the first byte of a request behind the one that is
// served.
func (g *Gate) IsAhead() bool { return g.busy && g.lead }

// readAhead reads the first byte of the next head while a request is served. The server does so to
// notice that the caller closes the connection.
func (g *Gate) readAhead(p []byte) (int, error) {
	if g.lead {
		return 0, errPastRequest
	}
	for {
		if len(g.in) == 0 {
			n, err := g.source.Read(p)
			if n == 0 {
				return 0, err
			}
			g.in = append(g.in, p[0])
		}
		if c := g.in[0]; c != '\r' && c != '\n' {
			p[0], g.lead = c, true
			return 1, nil
		}
		// The server does not expect empty lines here.
		if g.in[0] == '\n' {
			g.emptyLines++
		}
		g.in = g.in[1:]
	}
}

// readHead reads a head and passes it on.
func (g *Gate) readHead(p []byte) (int, error) {
	for len(g.in) == 0 {
		n, err := g.source.Read(p)
		if n == 0 {
			return 0, err
		}
		text, err := g.skipEmptyLines(p[:n])
		if err != nil {
			return g.refuse(p, err), nil
		}
		end, err := g.scan(text)
		if err != nil {
			return g.refuse(p, err), nil
		}
		if end > 0 {
			return g.passDirectly(p, text, end), nil
		}
		if len(text) > 0 {
			size := max(firstBuffer, len(text))
			if !g.hold().GrowHead(int64(size)) {
				return g.refuse(p, noMemory()), nil
			}
			g.in = append(make([]byte, 0, size), text...)
		}
	}
	err := g.collect()
	var refusal *requesthead.Refusal
	if errors.As(err, &refusal) {
		return g.refuse(p, refusal), nil
	}
	if err != nil {
		return 0, err
	}
	return g.passOn(p), nil
}

// scan inspects the text of a head. It returns the end of the head, or 0 if it is not complete.
func (g *Gate) scan(text []byte) (int, error) {
	if !begins(text) {
		return 0, nil
	}
	return g.scanner.Scan(text)
}

// passDirectly accepts a head that has arrived at once in p, the buffer of the server.
func (g *Gate) passDirectly(p, text []byte, end int) int {
	g.acceptHead()
	n := end + g.body.Advance(text[end:])
	if err := g.holdHead(int64(len(text) - n)); err != nil {
		return g.refuse(p, err)
	}
	g.in = slices.Clone(text[n:])
	return copy(p, text[:n])
}

// begins reports whether the text behind the empty lines is that of a head, and not the beginning of
// another empty line.
func begins(text []byte) bool { return len(text) > 0 && text[0] != '\r' }

// acceptHead ends the inspection of a head.
func (g *Gate) acceptHead() {
	g.busy, g.taken = true, false
	g.raw = g.scanner.Raw()
	g.body = requesthead.NewBody(g.raw)
}

// collect reads a head that does not arrive at once into in, and moves it with the part of its body
// that has arrived to out.
func (g *Gate) collect() error {
	for {
		if !g.lead && !g.begun {
			text, err := g.skipEmptyLines(g.in)
			if err != nil {
				return err
			}
			// The room before the text is used again.
			g.in = g.in[:copy(g.in, text)]
		}
		end, err := g.scan(g.in)
		if err != nil {
			return err
		}
		if end > 0 {
			return g.moveOut(end)
		}
		err = g.readMore()
		if err != nil {
			return err
		}
	}
}

// moveOut accepts the head in the buffer.
func (g *Gate) moveOut(end int) error {
	g.acceptHead()
	n := end + g.body.Advance(g.in[end:])
	rest := slices.Clone(g.in[n:])
	if err := g.holdHead(int64(len(rest))); err != nil {
		return err
	}
	g.out = g.in[:n]
	if g.lead {
		g.out = g.out[1:]
	}
	g.in, g.lead = rest, false
	return nil
}

// readMore reads more of a head. The memory for it is held, and is refused when others hold too much.
func (g *Gate) readMore() error {
	if !g.begun && begins(g.in) {
		g.begun = true
		_ = g.source.SetReadDeadline(time.Now().Add(g.options.Timeout))
	}
	if len(g.in) == cap(g.in) {
		// The scanner refuses a head that fills the largest buffer.
		size := min(max(firstBuffer, 2*cap(g.in)), max(g.options.Limits.Bytes, cap(g.in)+1))
		if !g.hold().GrowHead(int64(size - cap(g.in))) {
			return noMemory()
		}
		g.in = slices.Grow(g.in, size-len(g.in))
	}
	held := g.held.Load()
	if held != nil {
		held.Interrupt(func() { _ = g.source.SetReadDeadline(time.Unix(0, 0)) })
		defer held.Interrupt(nil)
	}
	n, err := g.source.Read(g.in[len(g.in):cap(g.in)])
	g.in = g.in[:len(g.in)+n]
	switch {
	case held != nil && held.Ended():
		return noMemory()
	case n > 0:
		return nil
	case g.begun && errors.Is(err, os.ErrDeadlineExceeded):
		g.options.Count(requesthead.TooSlow)
	}
	return err
}

// hold returns the holder of the head.
func (g *Gate) hold() *buffers.Holder {
	if g.held.Load() == nil {
		g.held.Store(g.options.Budget.Hold())
	}
	return g.held.Load()
}

// holdHead holds the memory of an accepted head and of the bytes behind its request.
func (g *Gate) holdHead(behind int64) error {
	held := g.hold()
	// A head that has not been passed on can be ended at any time.
	held.Interrupt(func() {})
	defer held.Interrupt(nil)
	if !held.GrowHead(g.raw.Cost()+behind) || held.Ended() {
		return noMemory()
	}
	return nil
}

func noMemory() *requesthead.Refusal {
	return requesthead.RefuseFor(requesthead.NoMemory, errkind.Overloaded, memoryRetryAfter)
}

// skipEmptyLines returns the text without the empty lines at its beginning.
func (g *Gate) skipEmptyLines(text []byte) ([]byte, error) {
	for len(text) > 0 {
		line, found := bytes.CutPrefix(text, []byte("\r"))
		switch {
		case len(line) == 0:
			// The line feed has not arrived.
			return text, nil
		case line[0] != '\n' && found:
			return nil, requesthead.Refuse(requesthead.BadSyntax, errkind.BadRequest, "a carriage return without a line feed")
		case line[0] != '\n':
			return text, nil
		}
		text = line[1:]
		g.emptyLines++
		if g.emptyLines > g.options.Limits.EmptyLines {
			return nil, requesthead.Refuse(requesthead.TooManyEmptyLines, errkind.BadRequest, "too many empty lines before a request")
		}
	}
	return text, nil
}

// refuse ends the connection with the refusal: the server gets the substitute, then the end.
func (g *Gate) refuse(p []byte, err error) int {
	if !errors.As(err, &g.refusal) {
		g.refusal = requesthead.Refuse(requesthead.BadSyntax, errkind.BadRequest, "")
	}
	g.options.Count(g.refusal.Reason)
	g.out = []byte(substitute)
	if g.lead {
		// The method of the substitute is the byte that was passed on. If that is none of a method,
		// the server refuses the request itself.
		g.out = g.out[len("GET"):]
	}
	g.in, g.lead = nil, false
	g.busy, g.taken = true, false
	g.refused.Store(true)
	g.Release()
	return g.passOn(p)
}

// readBody reads a part of a body.
func (g *Gate) readBody(p []byte) (int, error) {
	p = p[:min(int64(len(p)), g.body.Window())]
	if len(g.in) > 0 {
		n := copy(p, g.in)
		n = g.body.Advance(p[:n])
		g.in = g.in[n:]
		return n, nil
	}
	n, err := g.source.Read(p)
	used := g.body.Advance(p[:n])
	if used < n {
		g.in = slices.Clone(p[used:n])
	}
	return used, err
}

// Take returns the memory held for the head of the request that the server has parsed, or the refusal
// of the head.
func (g *Gate) Take(r *http.Request) (*buffers.Holder, error) {
	switch {
	case g.refusal != nil:
		return nil, g.refusal
	case !g.busy || g.taken || !g.raw.Matches(r):
		g.refused.Store(true)
		g.options.Count(requesthead.OutOfStep)
		return nil, requesthead.Refuse(requesthead.OutOfStep, errkind.BadRequest, "the request is ambiguous")
	}
	g.taken = true
	return g.held.Load(), nil
}

// Next ends the request, so that the next head is read.
func (g *Gate) Next() {
	g.Release()
	g.busy, g.begun, g.emptyLines = false, false, 0
	g.scanner = requesthead.NewScanner(g.options.Limits)
}

// Release returns the memory of the request.
func (g *Gate) Release() {
	if held := g.held.Swap(nil); held != nil {
		held.Release()
	}
}
