package upstream

import (
	"context"
	"io"
	"sync"

	"github.com/cockroachdb/errors"
)

const (
	// maxReplayBytes bounds the bytes of a request body that are buffered so that
	// the body can be sent again.
	maxReplayBytes = 64 << 10
	// firstChunkBytes and chunkBytes are the buffer sizes for the first and for
	// later reads of a request body.
	firstChunkBytes = 4 << 10
	chunkBytes      = 32 << 10
)

var errNotReplayable = errors.New("request body cannot be sent again")

// ReplayBody is a request body that several attempts can read from its start
// until more than 64 KiB of its source have been read. It is safe for concurrent use. A
// blocked read of the source occupies one goroutine until the source returns,
// but does not block an attempt beyond its context.
type ReplayBody struct {
	source io.Reader

	mu sync.Mutex
	// kept holds all bytes read so far; it is nil once they exceed maxReplayBytes.
	kept []byte
	// chunk holds the bytes of the latest read, which end at offset total.
	chunk []byte
	// total is the number of bytes read from the source.
	total int64
	err   error
	// fetchDone is closed when the current read of the source returns; it is nil
	// when there is none.
	fetchDone chan struct{}
	buffer    []byte
}

// NewReplayBody returns a body that reads from source.
func NewReplayBody(source io.Reader) *ReplayBody { return &ReplayBody{source: source} }

// NewWholeBody returns a body whose bytes are known. It does not copy them, and every attempt can read it.
func NewWholeBody(body []byte) *ReplayBody {
	return &ReplayBody{kept: body, total: int64(len(body)), err: io.EOF}
}

// Replayable reports whether an attempt can still read the body from its start.
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

// Read reads from the position that the source has reached.
func (b *ReplayBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	offset := b.total
	b.mu.Unlock()
	return b.readAt(context.Background(), nil, p, offset)
}

// readAt reads at the offset. It returns when ctx ends or connDone is closed, even
// while the source blocks.
func (b *ReplayBody) readAt(ctx context.Context, connDone <-chan struct{}, p []byte, offset int64) (int, error) {
	for {
		n, wait, err := b.readOrFetch(p, offset)
		if wait == nil {
			return n, err
		}
		select {
		case <-wait:
		case <-ctx.Done():
			return 0, ctx.Err()
		case <-connDone:
			return 0, errConnEnded
		}
	}
}

// readOrFetch copies buffered bytes, or starts a read of the source and returns
// the channel that is closed when that read returns.
func (b *ReplayBody) readOrFetch(p []byte, offset int64) (n int, wait <-chan struct{}, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if offset < int64(len(b.kept)) {
		return copy(p, b.kept[offset:]), nil, nil
	}
	chunkStart := b.total - int64(len(b.chunk))
	if offset >= chunkStart && offset < b.total {
		return copy(p, b.chunk[offset-chunkStart:]), nil, nil
	}
	if offset != b.total {
		return 0, nil, errNotReplayable
	}
	if b.err != nil {
		return 0, nil, b.err
	}
	if b.fetchDone == nil {
		b.startFetch()
	}
	return 0, b.fetchDone, nil
}

// startFetch starts a read of the source. The caller holds mu.
func (b *ReplayBody) startFetch() {
	b.fetchDone = make(chan struct{})
	b.chunk = nil
	switch len(b.buffer) {
	case 0:
		b.buffer = make([]byte, firstChunkBytes)
	case firstChunkBytes:
		b.buffer = make([]byte, chunkBytes)
	}
	go b.fetch(b.buffer)
}

func (b *ReplayBody) fetch(buffer []byte) {
	n, err := b.source.Read(buffer)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.keep(buffer[:n])
	b.chunk = buffer[:n]
	b.err = err
	close(b.fetchDone)
	b.fetchDone = nil
}

// keep buffers the bytes, or drops the buffer once it would exceed
// maxReplayBytes. The caller holds mu.
func (b *ReplayBody) keep(p []byte) {
	complete := b.total == int64(len(b.kept))
	b.total += int64(len(p))
	if complete && b.total <= maxReplayBytes {
		b.kept = append(b.kept, p...)
		return
	}
	b.kept = nil
}

// attemptBody reads a ReplayBody for one attempt. The request that carries it
// has no GetBody, so net/http cannot rewind it. Reads fail once the attempt has
// ended or its connection has been rejected or closed: net/http reports a failed
// attempt only when the read of its body has returned.
type attemptBody struct {
	ctx     context.Context
	attempt *attempt
	body    *ReplayBody
	offset  int64
}

func (b *attemptBody) Read(p []byte) (int, error) {
	c := b.attempt.bodyConn()
	if c == nil {
		return 0, errConnUnusable
	}
	n, err := b.body.readAt(b.ctx, c.done, p, b.offset)
	b.offset += int64(n)
	return n, err
}

// Close does nothing: the body belongs to the request, not to the attempt.
func (b *attemptBody) Close() error { return nil }
