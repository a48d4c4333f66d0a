package edge

import (
	"io"
	"sort"
	"sync"

	"github.com/cockroachdb/errors"

	"samphireferry.example/ferry/buffers"
	"samphireferry.example/ferry/config/static"
)

const (
	// defaultBufferedBytes bounds the bodies of an instance whose memory is not set.
	defaultBufferedBytes = 64 << 20
	// minBufferBytes and maxFirstBufferBytes bound the size of the first buffer of a body: a
	// message may state a length that it does not have.
	minBufferBytes      = 512
	maxFirstBufferBytes = 32 << 10
)

// errNoMemory means that a body was not read because the instance holds too many bytes of others.
var errNoMemory = errors.New("too little memory is left for the body")

// newBuffers returns the budget for heads and bodies of an instance.
func newBuffers(settings *static.EdgeSettings) *buffers.Budget {
	limits := buffers.Limits{Bytes: defaultBufferedBytes}
	if settings.Memory != 0 {
		limits = buffers.LimitsFor(int64(settings.Memory), settings.MaxConnections)
	}
	limits.Heads = int64(float64(limits.Bytes) * settings.HeadShare)
	return buffers.New(limits)
}

// classes are the sizes of the buffers of bodies in bytes: powers of two, and one that shows that a body is
// longer than maxBufferedBody.
var classes = []int{minBufferBytes, 1 << 10, 2 << 10, 4 << 10, 8 << 10, 16 << 10, 32 << 10, 64 << 10, 128 << 10, maxBufferedBody + 1}

// free holds buffers that are not in use, by class. A body that is ended leaves its buffer to the next one: the
// garbage collector would get to it too late when many bodies are ended.
var free = make([]sync.Pool, len(classes))

// newBuffer returns an empty buffer of at least the size, up to that of the largest class.
func newBuffer(size int) []byte {
	class := min(sort.SearchInts(classes, size), len(classes)-1)
	if buffer, ok := free[class].Get().(*[]byte); ok {
		return (*buffer)[:0]
	}
	return make([]byte, 0, classes[class])
}

// freeBuffer returns a buffer of newBuffer that nothing refers to any more.
func freeBuffer(buffer []byte) {
	class := sort.SearchInts(classes, cap(buffer))
	if class < len(classes) && classes[class] == cap(buffer) {
		free[class].Put(&buffer)
	}
}

// firstBuffer returns the size of the first buffer of a body with the stated length, -1 if there
// is none. It has room for one more byte, so that the end is found without another buffer.
func firstBuffer(length int64) int {
	return int(max(minBufferBytes, min(length+1, maxFirstBufferBytes)))
}

// readHeld reads up to most bytes of a body with the stated length, for which the holder grows. It
// stops early, without an error, when it has buffers.Small bytes or more and stop returns true.
// interrupt ends a Read. What it returns may be given to freeBuffer; with an error it returns nothing.
func readHeld(r io.Reader, length int64, most int, held *buffers.Holder, interrupt func(), stop func() bool) (read []byte, err error) {
	held.Interrupt(interrupt)
	defer held.Interrupt(nil)
	for err == nil && len(read) < most {
		if len(read) == cap(read) {
			if len(read) >= buffers.Small && stop() {
				break
			}
			larger := newBuffer(max(2*cap(read), firstBuffer(length)))
			if !held.Grow(int64(cap(larger) - cap(read))) {
				freeBuffer(larger)
				freeBuffer(read)
				return nil, errNoMemory
			}
			larger = append(larger, read...)
			freeBuffer(read)
			read = larger
		}
		var n int
		n, err = r.Read(read[len(read):min(most, cap(read))])
		read = read[:len(read)+n]
	}
	if err == io.EOF {
		err = nil
	}
	if held.Ended() {
		err = errNoMemory
	}
	if err != nil {
		freeBuffer(read)
		return nil, err
	}
	return read, nil
}

// neverStop is the stop of a body that has to be read whole.
func neverStop() bool { return false }
