package requesthead

import (
	"bufio"
	"fmt"
	"net/http"
	"runtime"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"samphireferry.example/ferry/errkind"
)

const maxHeader = 32 << 10

// scan inspects a head that arrives in pieces of the size.
func scan(text string, size int, limits Limits) (Raw, int, error) {
	s := NewScanner(limits)
	for n := min(size, len(text)); ; n = min(n+size, len(text)) {
		end, err := s.Scan([]byte(text[:n]))
		if err != nil || end > 0 || n == len(text) {
			return s.Raw(), end, err
		}
	}
}

// reasonOf returns the reason and the kind of a refusal, "" for none.
func reasonOf(err error) (Reason, errkind.Kind) {
	if err == nil {
		return "", 0
	}
	return err.(*Refusal).Reason, errkind.Of(err)
}

// Guards against requests inside the bodies of others, which run when two programs find different ends
// of a body (UNASKED), and against heads that net/http and the scanner read differently.
func TestFraming(t *testing.T) {
	for fields, want := range map[string]Reason{
		"":                              "",
		"Content-Length: 5\r\n":         "",
		"content-length:5 \r\n":         "",
		"Content-Length: 5\nX-A: b\r\n": "",
		"Content-Length: 5\r\nContent-Length: 5\r\n":                   "",
		"Transfer-Encoding: chunked\r\n":                               "",
		"transfer-encoding:\tChunked\r\n":                              "",
		"Content-Length: 5\r\nContent-Length: 6\r\n":                   AmbiguousFraming,
		"Content-Length: 5, 5\r\n":                                     AmbiguousFraming,
		"Content-Length: +5\r\n":                                       AmbiguousFraming,
		"Content-Length: 0x5\r\n":                                      AmbiguousFraming,
		"Content-Length:\r\n":                                          AmbiguousFraming,
		"Content-Length: 9999999999999999999\r\n":                      AmbiguousFraming,
		"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n":          AmbiguousFraming,
		"Transfer-Encoding: chunked\r\nA: b\r\nCONTENT-LENGTH: 5\r\n":  AmbiguousFraming,
		"Transfer-Encoding: gzip, chunked\r\n":                         AmbiguousFraming,
		"Transfer-Encoding: identity\r\n":                              AmbiguousFraming,
		"Transfer-Encoding:\r\n":                                       AmbiguousFraming,
		"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n": AmbiguousFraming,
		"Transfer-Encoding : chunked\r\n":                              BadSyntax,
		"Transfer-Encoding\r\n":                                        BadSyntax,
		"Transfer-Encoding: \x0bchunked\r\n":                           BadSyntax,
		"X-A: b\r\n Transfer-Encoding: chunked\r\n":                    BadSyntax,
		"X-A: b\rTransfer-Encoding: chunked\r\n":                       BadSyntax,
		"X-A: \x00\r\n":                                                BadSyntax,
		": b\r\n":                                                      BadSyntax,
		"Content-Length\xa0: 5\r\n":                                    BadSyntax,
	} {
		head := "POST /post/7 HTTP/1.1\r\nHost: a.example\r\n" + fields + "\r\n"
		for _, size := range []int{1, 7, len(head) + 4} {
			raw, end, err := scan(head+"GET ", size, LimitsFor(maxHeader, 0, 0))
			reason, kind := reasonOf(err)
			assert.Equal(t, reason, want, "%q in pieces of %d", fields, size)
			if err != nil {
				assert.Equal(t, kind, errkind.BadRequest)
				continue
			}
			assert.Equal(t, end, len(head))
			r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(head)))
			assert.NilError(t, err)
			assert.Assert(t, raw.Matches(r))
			assert.Equal(t, raw.Chunked, len(r.TransferEncoding) == 1, fields)
			assert.Equal(t, raw.Length, max(r.ContentLength, 0), fields)
		}
	}
	for line, want := range map[string]Reason{
		"GET /a HTTP/1.0": AmbiguousFraming, "GET /a HTTP/2.0": BadSyntax, "PRI * HTTP/2.0": BadSyntax, "GET /a": BadSyntax,
		"GET /a b HTTP/1.1": BadSyntax, "GET  /a HTTP/1.1": BadSyntax, "GET /a\t HTTP/1.1": BadSyntax, "GET /\x7f HTTP/1.1": BadSyntax,
	} {
		_, _, err := scan(line+"\r\nTransfer-Encoding: chunked\r\n\r\n", maxHeader, LimitsFor(maxHeader, 0, 0))
		reason, _ := reasonOf(err)
		assert.Equal(t, reason, want, line)
	}
}

// Guards against heads without end, and against refusals of heads of legal size by the defaults.
func TestBoundsOfHeads(t *testing.T) {
	const start = "GET / HTTP/1.1\r\n"
	few := LimitsFor(maxHeader, 10, 0)
	for _, c := range []struct {
		name, head string
		limits     Limits
		want       Reason
	}{
		{"the most lines of legal size", start + strings.Repeat("a:\n", (maxHeader-len(start)-2)/3) + "\r\n", LimitsFor(maxHeader, 0, 0), ""},
		{"one line of legal size", start + "a:" + strings.Repeat("b", maxHeader-len(start)-6) + "\r\n\r\n", LimitsFor(maxHeader, 0, 0), ""},
		{"a line without end", start + "a:" + strings.Repeat("b", 2*maxHeader), LimitsFor(maxHeader, 0, 0), TooManyBytes},
		{"lines without end", start + strings.Repeat("a:\r\n", maxHeader), LimitsFor(maxHeader, 0, 0), TooManyBytes},
		{"too long", start + "a:" + strings.Repeat("b", 2*maxHeader) + "\r\n\r\n", LimitsFor(maxHeader, 0, 0), TooManyBytes},
		{"ten lines", start + strings.Repeat("a:\r\n", 9) + "\r\n", few, ""},
		{"eleven lines", start + strings.Repeat("a:\r\n", 10) + "\r\n", few, TooManyLines},
	} {
		for _, size := range []int{1000, 1 << 20} {
			_, end, err := scan(c.head, size, c.limits)
			reason, kind := reasonOf(err)
			assert.Equal(t, reason, c.want, c.name)
			if c.want == "" {
				assert.Equal(t, end, len(c.head), c.name)
			} else {
				assert.Equal(t, kind.Row().Status, http.StatusRequestHeaderFieldsTooLarge, c.name)
			}
		}
	}
}

// Guards against a bound that counts less than a head needs: a head of short lines needs many times
// its length.
func TestCostCoversTheMemoryOfAHead(t *testing.T) {
	const heads = 20
	for name, head := range map[string]func(i int) string{
		"short lines":   func(i int) string { return fmt.Sprintf("%x:\r\n", i) },
		"same name":     func(int) string { return "a:\n" },
		"ordinary":      func(i int) string { return fmt.Sprintf("X-Field-%d: some value of a field %d\r\n", i, i) },
		"unusual bytes": func(i int) string { return fmt.Sprintf("~%x`|: \xff\r\n", i) },
	} {
		for _, lines := range []int{5, 100, 5000} {
			var text strings.Builder
			text.WriteString("GET / HTTP/1.1\r\nHost: a.example\r\n")
			for i := range lines {
				if text.Len() < maxHeader {
					text.WriteString(head(i))
				}
			}
			text.WriteString("\r\n")
			raw, _, err := scan(text.String(), text.Len(), LimitsFor(maxHeader, 0, 0))
			assert.NilError(t, err)
			var before, after runtime.MemStats
			var kept [2 * heads]*http.Request
			runtime.GC()
			runtime.ReadMemStats(&before)
			for i := range heads {
				r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(text.String())))
				assert.NilError(t, err)
				kept[2*i], kept[2*i+1] = r, &http.Request{Header: r.Header.Clone()}
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			need := (int64(after.HeapAlloc) - int64(before.HeapAlloc)) / heads
			t.Logf("%s, %d lines: %d bytes, need %d, cost %d", name, raw.Lines, raw.Bytes, need, raw.Cost())
			assert.Assert(t, need <= raw.Cost(), "%s, %d lines: need %d, cost %d", name, raw.Lines, need, raw.Cost())
			runtime.KeepAlive(kept)
		}
	}
}

func TestMatchesComparesTheRequestLine(t *testing.T) {
	r := &http.Request{Method: "GET", RequestURI: "/a?b", Proto: "HTTP/1.1"}
	for line, want := range map[string]bool{
		"GET /a?b HTTP/1.1": true, "GET /a HTTP/1.1": false, "GET /a?bc HTTP/1.1": false, "PUT /a?b HTTP/1.1": false, "": false, "GET /a?b HTTP/1.0": false,
	} {
		assert.Equal(t, (&Raw{Line: line}).Matches(r), want, line)
	}
}

// Guards against bytes of a body that are taken for a head, and the other way round.
func TestBodyEndsWhereTheNextHeadBegins(t *testing.T) {
	const next = "GET / HTTP/1.1\r\n"
	for text, ends := range map[string]bool{
		"0\r\n\r\n":               true,
		"5\r\nhello\r\n0\r\n\r\n": true,
		"5;a=b\r\nhello\r\n00 \r\nTrailer: x\r\n\r\n":   true,
		"1a\r\nabcdefghijklmnopqrstuvwxyz\r\n0\r\n\r\n": true,
		"5\nhello\r\n0\r\n\r\n":                         false,
		"5\r\nhello\n0\r\n\r\n":                         false,
		"5\r\nhelloX0\r\n\r\n":                          false,
		"\r\n0\r\n\r\n":                                 false,
		"-1\r\n0\r\n\r\n":                               false,
		"0x0\r\n\r\n":                                   false,
		"fffffffffffffffff\r\n":                         false,
		"0\r\n\n":                                       false,
		strings.Repeat("0", 5000) + "\r\n\r\n":          false,
	} {
		for _, size := range []int{1, 2, 3, 1000} {
			b := NewBody(Raw{Chunked: true})
			all, used := text+next, 0
			for at := 0; at < len(all) && !b.Ended(); at += size {
				used += b.Advance([]byte(all[at:min(at+size, len(all))]))
			}
			assert.Equal(t, b.Ended(), ends, "%.40q in pieces of %d", text, size)
			if ends {
				assert.Equal(t, used, len(text), "%q in pieces of %d", text, size)
			} else {
				assert.Equal(t, used, len(all))
			}
		}
	}
}
