package memorytest

import (
	"fmt"
	"strings"
	"testing"
)

// head returns a head of a number of bytes, made of short lines with distinct names, with its first lines.
// It has no end.
func head(start string, bytes int) string {
	var text strings.Builder
	text.WriteString(start)
	for line := 0; text.Len() < bytes-10; line++ {
		fmt.Fprintf(&text, "%x:\r\n", line)
	}
	return text.String()
}

const (
	// getStart and postStart begin requests that are served, postStart one whose body has a length.
	getStart  = "GET /read/7 HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: 1\r\nAuthorization: Bearer " + key + "\r\n"
	postStart = "POST /read/7 HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: 1\r\nAuthorization: Bearer " + key + "\r\nContent-Length: 1000\r\n"
	// strangerStart begins a request without a key.
	strangerStart = "POST /read/7 HTTP/1.1\r\nHost: a.example\r\nContent-Length: 1000\r\n"
	chunkedStart  = "POST /read/slow HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: 1\r\nAuthorization: Bearer " + key + "\r\nTransfer-Encoding: chunked\r\n"
	headEnd       = "\r\n"
)

// callerCrowds are what the clients of a listener for callers send.
func callerCrowds() map[string]crowd {
	every := func(text string) func(int) string { return func(int) string { return text } }
	// Every second client presents a valid key.
	both := func(bytes int, end string) func(int) string {
		known, stranger := head(postStart, bytes)+end, head(strangerStart, bytes)+end
		return func(client int) string {
			if client%2 == 0 {
				return known
			}
			return stranger
		}
	}
	return map[string]crowd{
		"heads of 16 KB, bodies that do not arrive": {text: both(16_300, headEnd)},
		"heads of 16 KB that are incomplete":        {text: both(16_300, "")},
		"heads of 4 KB, bodies that do not arrive":  {text: both(4_000, headEnd)},
		"heads of 4 KB that are incomplete":         {text: both(4_000, "")},
		"heads of 32 KB, bodies that do not arrive": {text: both(32_600, headEnd)},
		"heads of 32 KB that are incomplete":        {text: both(32_600, "")},
		"one long line that is incomplete":          {text: every(getStart + "a: " + strings.Repeat("b", 32_000))},
		"bodies that do not end":                    {text: every(strings.Replace(postStart, "1000", "20000", 1) + headEnd + strings.Repeat("b", 16_000))},
		"long bodies that do not end":               {text: every(strings.Replace(postStart, "1000", "250000", 1) + headEnd + strings.Repeat("b", 240_000))},
		"chunk extensions that do not end":          {text: every(chunkedStart + headEnd + "1;" + strings.Repeat("a", 4_000))},
		"trailers of short lines":                   {text: every(chunkedStart + headEnd + "1\r\nb\r\n0\r\n" + head("", 4_000) + headEnd)},
		"heads of 4 KB at a slow upstream":          {text: every(head(strings.Replace(getStart, "/read/7", "/read/slow", 1), 4_000) + headEnd)},
		"requests sent ahead at a slow upstream":    {text: every(strings.Repeat(strings.Replace(getStart, "/read/7", "/read/slow", 1)+headEnd, 100))},
		"responses that nobody reads":               {text: every(strings.Replace(getStart, "/read/7", "/read/long", 1) + headEnd), deaf: true},
		"many responses that nobody reads":          {text: every(strings.Repeat(strings.Replace(getStart, "/read/7", "/read/long", 1)+headEnd, 40)), deaf: true},
		"connections without a byte":                {text: every("")},
		"empty lines without end":                   {text: every(strings.Repeat("\r\n", 500_000))},
	}
}

// Guards against a ferry-edge that runs out of the memory of its machine since many clients make it hold
// heads, bodies, trailers or responses at once.
func TestCallersOfAnEdgeInstance(t *testing.T) {
	for name, c := range callerCrowds() {
		t.Run(name, func(t *testing.T) {
			i := startEdge(t)
			c.address = i.callers
			i.withstands(t, &c)
		})
	}
}
