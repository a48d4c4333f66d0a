package requesthead

import (
	"bytes"
	"math"
	"strconv"
	"strings"
)

const (
	// maxChunkLine bounds a line of the chunked coding in bytes, which net/http reads into a buffer
	// of this size.
	maxChunkLine = 4 << 10
	// maxSizeDigits is the number of hexadecimal digits of a chunk size that fits into an int64.
	maxSizeDigits = 15
)

// Body finds the end of a request's body, behind which the next head begins.
type Body struct {
	chunked bool
	// left is how many bytes follow of the body or of the chunk with its end.
	left  int64
	line  []byte
	state chunkState
}

type chunkState uint8

const (
	// inSize is a line with the size of a chunk, inTrailer a line behind the last chunk.
	inSize chunkState = iota
	inData
	inTrailer
	ended
	// broken is a body that is not of the chunked coding. No head follows it.
	broken
)

// NewBody returns the body of a request with the head.
func NewBody(raw Raw) Body { return Body{chunked: raw.Chunked, left: raw.Length} }

// Ended reports whether the body is complete.
func (b *Body) Ended() bool {
	if b.chunked {
		return b.state == ended
	}
	return b.left == 0
}

// Window returns how many bytes should be read at most, so that few of them belong to the next head.
func (b *Body) Window() int64 {
	if !b.chunked {
		return b.left
	}
	if b.state == broken {
		return math.MaxInt64
	}
	return b.left + maxChunkLine
}

// Advance returns how many of the bytes that follow belong to the body. The bytes behind a malformed
// chunk all do: no head can be found behind it.
func (b *Body) Advance(text []byte) int {
	if !b.chunked {
		n := min(int64(len(text)), b.left)
		b.left -= n
		return int(n)
	}
	n := 0
	for n < len(text) && b.state != ended {
		switch b.state {
		case broken:
			return len(text)
		case inData:
			n += b.data(text[n:])
		default:
			n += b.partOfLine(text[n:])
		}
	}
	return n
}

// data advances within the data of a chunk and the line end behind it.
func (b *Body) data(text []byte) int {
	const lineEnd = 2
	if b.left > lineEnd {
		n := min(int64(len(text)), b.left-lineEnd)
		b.left -= n
		return int(n)
	}
	if text[0] != "\r\n"[lineEnd-b.left] {
		b.state = broken
		return 0
	}
	b.left--
	if b.left == 0 {
		b.state = inSize
	}
	return 1
}

// partOfLine advances within a line that ends with a carriage return and a line feed.
func (b *Body) partOfLine(text []byte) int {
	part, _, found := bytes.Cut(text, []byte("\n"))
	if len(b.line)+len(part) > maxChunkLine {
		b.state = broken
		return 0
	}
	b.line = append(b.line, part...)
	if !found {
		return len(part)
	}
	line, ok := strings.CutSuffix(string(b.line), "\r")
	b.line = b.line[:0]
	switch {
	case !ok || strings.Contains(line, "\r"):
		b.state = broken
	case b.state == inSize:
		b.size(line)
	case line == "":
		b.state = ended
	}
	return len(part) + 1
}

// size reads the line before a chunk.
func (b *Body) size(line string) {
	digits, _, _ := strings.Cut(line, ";")
	digits = strings.TrimRight(digits, " \t")
	size, err := strconv.ParseUint(digits, 16, 64)
	switch {
	case err != nil || len(digits) > maxSizeDigits || strings.ContainsAny(digits, "_+-"):
		b.state = broken
	case size == 0:
		b.state = inTrailer
	default:
		b.left = int64(size) + int64(len("\r\n"))
		b.state = inData
	}
}
