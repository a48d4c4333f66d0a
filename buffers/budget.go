package buffers

import "sync"

// Small is the number of bytes up to which a holder is never ended.
const Small = 16 << 10

// Budget is the memory for the heads and bodies of all requests that run. It is safe for concurrent
// use.
type Budget struct {
	limit int64
	// headLimit bounds the part of the limit that heads may hold.
	headLimit int64

	mu sync.Mutex
	// held is the sum of the holders that have not been ended, in bytes, and heads the part of it
	// for heads.
	held    int64
	heads   int64
	holders map[*Holder]struct{}
	ended   uint64
}

// New returns a budget of limit bytes, all of which heads may hold.
func New(limit int64) *Budget { return NewWithHeads(limit, limit) }

// NewWithHeads returns a budget of limit bytes, of which heads may hold headLimit bytes.
func NewWithHeads(limit, headLimit int64) *Budget {
	return &Budget{limit: limit, headLimit: headLimit, holders: map[*Holder]struct{}{}}
}

// Holder is the part of one request. Its methods may be called by one goroutine at a time.
type Holder struct {
	budget *Budget
	// The mutex of the budget guards the rest.
	size int64
	// head is the part of size for the head of the request.
	head      int64
	interrupt func()
	ended     bool
}

// Hold returns a holder of no bytes. It must be released.
func (b *Budget) Hold() *Holder {
	h := &Holder{budget: b}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.holders[h] = struct{}{}
	return h
}

// Interrupt sets what ends the read that makes the holder grow; nil while there is none, in which
// the holder is not ended. It may be called by any goroutine, and at once if the holder has been
// ended already.
func (h *Holder) Interrupt(interrupt func()) {
	h.budget.mu.Lock()
	h.interrupt = interrupt
	ended := h.ended
	h.budget.mu.Unlock()
	if ended && interrupt != nil {
		interrupt()
	}
}

// Grow adds bytes that the holder is about to keep, and ends the largest holders if the sum
// exceeds the limit. It reports whether this one may go on.
func (h *Holder) Grow(bytes int64) bool { return h.grow(bytes, 0) }

// GrowHead is like Grow for bytes of the head. It ends holders with the largest heads, too, while the
// heads exceed their part of the limit.
func (h *Holder) GrowHead(bytes int64) bool { return h.grow(bytes, bytes) }

func (h *Holder) grow(bytes, head int64) bool {
	b := h.budget
	b.mu.Lock()
	if h.ended {
		b.mu.Unlock()
		return false
	}
	h.size += bytes
	b.held += bytes
	h.head += head
	b.heads += head
	var interrupts []func()
	for b.heads > b.headLimit {
		largest := b.largest(func(h *Holder) int64 { return h.head })
		if largest == nil {
			break
		}
		interrupts = append(interrupts, b.end(largest))
	}
	for b.held > b.limit {
		largest := b.largest(func(h *Holder) int64 { return h.size })
		if largest == nil {
			break
		}
		interrupts = append(interrupts, b.end(largest))
	}
	mayGoOn := !h.ended
	b.mu.Unlock()
	for _, interrupt := range interrupts {
		interrupt()
	}
	return mayGoOn
}

// end ends the holder and returns its interrupt. The caller holds the mutex.
func (b *Budget) end(h *Holder) func() {
	h.ended = true
	b.held -= h.size
	b.heads -= h.head
	b.ended++
	return h.interrupt
}

// largest returns the largest holder that may be ended, by its size, or nil. The caller holds the
// mutex.
func (b *Budget) largest(size func(*Holder) int64) *Holder {
	var largest *Holder
	for h := range b.holders {
		if !h.ended && h.interrupt != nil && size(h) > Small && (largest == nil || size(h) > size(largest)) {
			largest = h
		}
	}
	return largest
}

// Ended reports whether the holder was ended.
func (h *Holder) Ended() bool {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	return h.ended
}

// Release returns the bytes of the holder.
func (h *Holder) Release() {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, ok := b.holders[h]; !ok {
		return
	}
	delete(b.holders, h)
	if !h.ended {
		b.held -= h.size
		b.heads -= h.head
	}
}

// Heads returns the part of Held for heads, in bytes.
func (b *Budget) Heads() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.heads
}

// Scarce reports whether more than half of the limit is held.
func (b *Budget) Scarce() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held > b.limit/2
}

// Held returns the sum of the holders that have not been ended, in bytes, and how many holders
// have been ended so far.
func (b *Budget) Held() (bytes int64, ended uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held, b.ended
}
