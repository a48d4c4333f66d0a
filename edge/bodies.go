package edge

import (
	"io"
	"slices"

	"github.com/cockroachdb/errors"

	"samphireferry.example/ferry/buffers"
)

const (
	// bufferedMemoryFraction is the fraction of an instance's memory in which it holds heads and bodies.
	bufferedMemoryFraction = 0.25
	// defaultBufferedBytes bounds the bodies of an instance whose memory is not set.
	defaultBufferedBytes = 64 << 20
	// minBufferBytes and maxFirstBufferBytes bound the size of the first buffer of a body: a
	// message may state a length that it does not have.
	minBufferBytes      = 512
	maxFirstBufferBytes = 32 << 10
)

// errNoMemory means that a body was not read because the instance holds too many bytes of others.
var errNoMemory = errors.New("too little memory is left for the body")

// newBuffers returns the budget for heads and bodies of an instance with the memory in bytes; 0 if that
// is not known. Heads may hold the share of it.
func newBuffers(memory int64, headShare float64) *buffers.Budget {
	limit := int64(defaultBufferedBytes)
	if memory != 0 {
		limit = int64(float64(memory) * bufferedMemoryFraction)
	}
	return buffers.NewWithHeads(limit, int64(float64(limit)*headShare))
}

// firstBuffer returns the size of the first buffer of a body with the stated length, -1 if there
// is none. It has room for one more byte, so that the end is found without another buffer.
func firstBuffer(length int64) int {
	return int(max(minBufferBytes, min(length+1, maxFirstBufferBytes)))
}

// readHeld reads up to most bytes of a body with the stated length, for which the holder grows. It
// stops early, without an error, when it has buffers.Small bytes or more and stop returns true.
// interrupt ends a Read.
func readHeld(r io.Reader, length int64, most int, held *buffers.Holder, interrupt func(), stop func() bool) (read []byte, err error) {
	held.Interrupt(interrupt)
	defer held.Interrupt(nil)
	for err == nil && len(read) < most {
		if len(read) == cap(read) {
			if len(read) >= buffers.Small && stop() {
				break
			}
			size := min(max(2*cap(read), firstBuffer(length)), most)
			if !held.Grow(int64(size - cap(read))) {
				return read, errNoMemory
			}
			read = slices.Grow(read, size-len(read))[:len(read):size]
		}
		var n int
		n, err = r.Read(read[len(read):cap(read)])
		read = read[:len(read)+n]
	}
	if held.Ended() {
		return read, errNoMemory
	}
	if err == io.EOF {
		err = nil
	}
	return read, err
}

// neverStop is the stop of a body that has to be read whole.
func neverStop() bool { return false }
