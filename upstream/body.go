package upstream

import (
	"io"
	"sync"

	"github.com/cockroachdb/errors"
)

// maxReplayBytes is the largest part of a request body that is kept so that
// the body can be sent again.
const maxReplayBytes = 64 << 10

var errNotReplayable = errors.New("request body cannot be sent again")

// ReplayBody is a request body that several attempts can read from its start,
// as long as no more than 64 KiB of it have been read. It may be read by
// several goroutines.
type ReplayBody struct {
	source io.Reader

	// reading serialises reads of the source.
	reading sync.Mutex

	mu   sync.Mutex
	kept []byte
	// total is the number of bytes that the source has given.
	total int64
	err   error
}

// NewReplayBody returns a body that reads from source.
func NewReplayBody(source io.Reader) *ReplayBody { return &ReplayBody{source: source} }

// Replayable says whether an attempt can still read the body from its start.
func (b *ReplayBody) Replayable() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.total == int64(len(b.kept))
}

// Err returns the error of the source, other than io.EOF, or nil.
func (b *ReplayBody) Err() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err == io.EOF {
		return nil
	}
	return b.err
}

// Read is not used by attempts; it reads from the source directly.
func (b *ReplayBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	offset := b.total
	b.mu.Unlock()
	return b.readAt(p, offset)
}

// readAt reads from the offset: kept bytes first, then the source.
func (b *ReplayBody) readAt(p []byte, offset int64) (int, error) {
	if n, err, done := b.readKept(p, offset); done {
		return n, err
	}
	b.reading.Lock()
	defer b.reading.Unlock()
	if n, err, done := b.readKept(p, offset); done {
		return n, err
	}
	n, err := b.source.Read(p)
	b.keep(p[:n], err)
	return n, err
}

// readKept reads what needs no call of the source; done is false otherwise.
func (b *ReplayBody) readKept(p []byte, offset int64) (n int, err error, done bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if offset < int64(len(b.kept)) {
		return copy(p, b.kept[offset:]), nil, true
	}
	if offset != b.total {
		return 0, errNotReplayable, true
	}
	return 0, b.err, b.err != nil
}

func (b *ReplayBody) keep(p []byte, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	whole := b.total == int64(len(b.kept))
	b.total += int64(len(p))
	b.err = err
	if whole && b.total <= maxReplayBytes {
		b.kept = append(b.kept, p...)
		return
	}
	b.kept = nil
}

// attemptBody reads a ReplayBody on behalf of one attempt. It has no GetBody,
// and it reads nothing once the attempt has ended or its connection is refused.
type attemptBody struct {
	attempt *attempt
	body    *ReplayBody
	offset  int64
}

func (b *attemptBody) Read(p []byte) (int, error) {
	if !b.attempt.readable() {
		return 0, errRefused
	}
	n, err := b.body.readAt(p, b.offset)
	b.offset += int64(n)
	return n, err
}

// Close does nothing: the body belongs to the request, not to the attempt.
func (b *attemptBody) Close() error { return nil }
