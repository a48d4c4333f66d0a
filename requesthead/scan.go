package requesthead

import (
	"bytes"
	"net/http"
	"strings"

	"samphireferry.example/ferry/errkind"
)

// Limits bound the heads of a process.
type Limits struct {
	// Bytes and Lines bound one head with its request line.
	Bytes int
	Lines int
	// EmptyLines bounds the empty lines before a request.
	EmptyLines int
}

const (
	// readerSlack is how many bytes net/http reads beyond the header limit of its server before it
	// refuses a head. A head that it serves must not be refused.
	readerSlack = 4 << 10
	// minLineBytes is the length of the shortest line of a head: a name of one byte, a colon and a
	// line feed.
	minLineBytes = 3
)

// LimitsFor returns the limits for heads of up to maxHeader bytes. Where lines or emptyLines is 0, as
// many are allowed as fit into these bytes, so that no head of legal size reaches them.
func LimitsFor(maxHeader, lines, emptyLines int) Limits {
	l := Limits{Bytes: maxHeader + readerSlack, Lines: lines, EmptyLines: emptyLines}
	if l.Lines == 0 {
		l.Lines = l.Bytes/minLineBytes + 1
	}
	if l.EmptyLines == 0 {
		l.EmptyLines = l.Bytes
	}
	return l
}

// The memory of a head while its request is served, in bytes. The server keeps the text and an entry
// of a map for each line, and the request to an upstream has a copy of the map. Measured with
// TestCostCoversTheMemoryOfAHead.
const (
	costOfHead    = 3 << 10
	costOfLine    = 224
	costOfOneByte = 2
)

// Raw is what the raw bytes of a head state.
type Raw struct {
	// Line is the request line.
	Line string
	// Bytes and Lines are the size of the head.
	Bytes int
	Lines int
	// Chunked and Length delimit the body. Length is 0 for a body in chunks.
	Chunked bool
	Length  int64
}

// Cost returns the memory that the head needs, in bytes.
func (r *Raw) Cost() int64 {
	return int64(costOfHead + costOfLine*r.Lines + costOfOneByte*r.Bytes)
}

// Matches reports whether the request was parsed from the request line.
func (r *Raw) Matches(request *http.Request) bool {
	rest, ok := strings.CutPrefix(r.Line, request.Method+" ")
	if !ok {
		return false
	}
	rest, ok = strings.CutPrefix(rest, request.RequestURI+" ")
	return ok && rest == request.Proto
}

// Scanner inspects the raw bytes of one head while they arrive.
type Scanner struct {
	limits Limits
	raw    Raw
	// at is the start of the line that is not complete, searched how far its end was searched.
	at, searched int
	hasLength    bool
	codings      int
}

// NewScanner returns a scanner for one head.
func NewScanner(limits Limits) Scanner { return Scanner{limits: limits} }

// Scan inspects the head of which text is what has arrived so far; the text of earlier calls is its
// beginning. It returns the length of the head once it is complete, else 0. The error is a *Refusal.
func (s *Scanner) Scan(text []byte) (end int, err error) {
	for {
		newline := bytes.IndexByte(text[s.searched:], '\n')
		if newline < 0 {
			s.searched = len(text)
			if len(text) >= s.limits.Bytes {
				return 0, Refuse(TooManyBytes, errkind.HeadTooLarge, "the head is too long")
			}
			return 0, nil
		}
		next := s.searched + newline + 1
		if next > s.limits.Bytes {
			return 0, Refuse(TooManyBytes, errkind.HeadTooLarge, "the head is too long")
		}
		line := bytes.TrimSuffix(text[s.at:next-1], []byte("\r"))
		s.at, s.searched = next, next
		if len(line) == 0 {
			s.raw.Bytes = next
			return next, s.complete()
		}
		s.raw.Lines++
		if s.raw.Lines > s.limits.Lines {
			return 0, Refuse(TooManyLines, errkind.HeadTooLarge, "the head has too many lines")
		}
		if s.raw.Lines == 1 {
			err = s.requestLine(line)
		} else {
			err = s.fieldLine(line)
		}
		if err != nil {
			return 0, err
		}
	}
}

// Raw returns what a complete head states.
func (s *Scanner) Raw() Raw { return s.raw }

func badSyntax(detail string) error { return Refuse(BadSyntax, errkind.BadRequest, detail) }

func badFraming(detail string) error { return Refuse(AmbiguousFraming, errkind.BadRequest, detail) }

// isControl reports whether the byte must not be in a head. A carriage return within a line ends it
// for some programs.
func isControl(c byte) bool { return c < ' ' && c != '\t' || c == 0x7f }

func (s *Scanner) requestLine(line []byte) error {
	if bytes.ContainsFunc(line, func(r rune) bool { return r < ' ' || r == 0x7f }) {
		return badSyntax("the request line has a control character")
	}
	if !bytes.HasSuffix(line, []byte(" HTTP/1.1")) && !bytes.HasSuffix(line, []byte(" HTTP/1.0")) {
		return badSyntax("the request is not of HTTP/1.0 or HTTP/1.1")
	}
	if bytes.Count(line, []byte(" ")) != 2 {
		return badSyntax("the request line does not have three parts")
	}
	s.raw.Line = string(line)
	return nil
}

// fieldLine inspects a line with a field.
func (s *Scanner) fieldLine(line []byte) error {
	colon := bytes.IndexByte(line, ':')
	if colon <= 0 {
		return badSyntax("a line has no field name")
	}
	name, value := line[:colon], line[colon+1:]
	for _, c := range name {
		if !isToken[c] {
			// This refuses a line that continues the one before, too, which begins with a space.
			return badSyntax("a field name is not valid")
		}
	}
	for _, c := range value {
		if isControl(c) {
			return badSyntax("a field value has a control character")
		}
	}
	switch {
	case len(name) == len("Content-Length") && strings.EqualFold(string(name), "Content-Length"):
		return s.length(bytes.Trim(value, " \t"))
	case len(name) == len("Transfer-Encoding") && strings.EqualFold(string(name), "Transfer-Encoding"):
		s.codings++
		s.raw.Chunked = strings.EqualFold(string(bytes.Trim(value, " \t")), "chunked")
		if !s.raw.Chunked || s.codings > 1 {
			return badFraming("the transfer coding is not chunked alone")
		}
	}
	return nil
}

// maxLengthDigits is the number of decimal digits that an int64 holds in any case.
const maxLengthDigits = 18

func (s *Scanner) length(digits []byte) error {
	if len(digits) == 0 || len(digits) > maxLengthDigits {
		return badFraming("the length is not a number")
	}
	var length int64
	for _, c := range digits {
		if c < '0' || c > '9' {
			return badFraming("the length is not a number")
		}
		length = 10*length + int64(c-'0')
	}
	if s.hasLength && length != s.raw.Length {
		return badFraming("two lengths differ")
	}
	s.hasLength, s.raw.Length = true, length
	return nil
}

// complete decides at the end of the head.
func (s *Scanner) complete() error {
	switch {
	case s.raw.Lines == 0:
		return badSyntax("the head is empty")
	case s.codings > 0 && s.hasLength:
		return badFraming("the request has a length and a transfer coding")
	case s.codings > 0 && strings.HasSuffix(s.raw.Line, "/1.0"):
		return badFraming("HTTP/1.0 has no transfer codings")
	}
	return nil
}

// isToken holds the bytes of field names.
var isToken = func() (table [256]bool) {
	for _, c := range []byte("!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ") {
		table[c] = true
	}
	return table
}()

// IsToken reports whether the byte can be part of a method or a field name.
func IsToken(c byte) bool { return isToken[c] }
