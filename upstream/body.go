package upstream

import (
	"context"
	"io"
	"sync"

	"github.com/cockroachdb/errors"
)

const (
	// maxReplayBytes is the largest part of a request body that is kept so that
	// the body can be sent again.
	maxReplayBytes = 64 << 10
	// firstChunkBytes and chunkBytes are the sizes of the first and of later
	// reads of a request body.
	firstChunkBytes = 4 << 10
	chunkBytes      = 32 << 10
)

var errNotReplayable = errors.New("request body cannot be sent again")

// ReplayBody is a request body that several attempts can read from its start,
// as long as no more than 64 KiB of it have been read. It may be read by
// several goroutines. A read of the source that blocks holds one goroutine until
// the source returns, but no attempt.
type ReplayBody struct {
	source io.Reader

	mu sync.Mutex
	// kept holds the first bytes; it is nil once there are too many.
	kept []byte
	// chunk holds the newest bytes, which end at total.
	chunk []byte
	total int64
	err   error
	// fetched is closed when the running read of the source returns.
	fetched chan struct{}
	buffer  []byte
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

// Read reads what no attempt has read yet.
func (b *ReplayBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	offset := b.total
	b.mu.Unlock()
	return b.readAt(context.Background(), p, offset)
}

// readAt reads from the offset. It returns when ctx ends, even while the source
// blocks.
func (b *ReplayBody) readAt(ctx context.Context, p []byte, offset int64) (int, error) {
	for {
		n, wait, err := b.readOrFetch(p, offset)
		if wait == nil {
			return n, err
		}
		select {
		case <-wait:
		case <-ctx.Done():
			return 0, ctx.Err()
		}
	}
}

// readOrFetch copies what is there, or starts a read of the source and returns
// the channel to wait for.
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
	if b.fetched == nil {
		b.startFetch()
	}
	return 0, b.fetched, nil
}

func (b *ReplayBody) startFetch() {
	b.fetched = make(chan struct{})
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
	close(b.fetched)
	b.fetched = nil
}

func (b *ReplayBody) keep(p []byte) {
	whole := b.total == int64(len(b.kept))
	b.total += int64(len(p))
	if whole && b.total <= maxReplayBytes {
		b.kept = append(b.kept, p...)
		return
	}
	b.kept = nil
}

// attemptBody reads a ReplayBody on behalf of one attempt. It has no GetBody,
// and it reads nothing once the attempt has ended or its connection is refused.
type attemptBody struct {
	ctx     context.Context
	attempt *attempt
	body    *ReplayBody
	offset  int64
}

func (b *attemptBody) Read(p []byte) (int, error) {
	if !b.attempt.readable() {
		return 0, errRefused
	}
	n, err := b.body.readAt(b.ctx, p, b.offset)
	b.offset += int64(n)
	return n, err
}

// Close does nothing: the body belongs to the request, not to the attempt.
func (b *attemptBody) Close() error { return nil }
