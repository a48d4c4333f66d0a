package buffers

import "sync"

// Budget is the memory for the heads and bodies of all requests that run. It is safe for concurrent
// use.
type Budget struct {
	limits Limits

	mu sync.Mutex
	// held is the sum of the holders that have not been ended, in bytes, and heads the part of it
	// for heads.
	held  int64
	heads int64
	// ending and endingHeads are the same of holders that have been ended and not released.
	ending      int64
	endingHeads int64
	// bySize and byHead hold the holders that may be ended and are not small.
	bySize index
	byHead index
	ended  uint64
}

// New returns a budget with the limits.
func New(limits Limits) *Budget {
	if limits.Heads == 0 {
		limits.Heads = limits.Bytes
	}
	if limits.Small == 0 {
		limits.Small = Small
	}
	return &Budget{limits: limits}
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
	released  bool
	// bySize and byHead are the places in the indexes of the budget.
	bySize place
	byHead place
}

// Hold returns a holder of no bytes. It must be released.
func (b *Budget) Hold() *Holder { return &Holder{budget: b} }

// Interrupt sets what ends the read that makes the holder grow; nil while there is none, in which
// the holder is not ended. It may be called by any goroutine, and at once if the holder has been
// ended already.
func (h *Holder) Interrupt(interrupt func()) {
	h.budget.mu.Lock()
	h.interrupt = interrupt
	ended := h.ended
	h.budget.place(h)
	h.budget.mu.Unlock()
	if ended && interrupt != nil {
		interrupt()
	}
}

// Grow adds bytes that the holder is about to keep, and ends the largest holders if the sum
// exceeds the limit. It reports whether this one may go on. It may not either, unless it stays small, while
// holders that have been ended still use much memory.
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
	if h.size+bytes > b.limits.Small && b.isEnding(bytes, head) {
		b.mu.Unlock()
		return false
	}
	h.size += bytes
	b.held += bytes
	h.head += head
	b.heads += head
	b.place(h)
	var interrupts []func()
	for b.heads > b.limits.Heads {
		largest := b.byHead.largest()
		if largest == nil {
			break
		}
		interrupts = append(interrupts, b.end(largest))
	}
	for b.held > b.limits.Bytes {
		largest := b.bySize.largest()
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

// isEnding reports whether so much memory of ended holders is not free yet that further bytes would exceed
// a limit by more than a quarter. The caller holds the mutex.
func (b *Budget) isEnding(bytes, head int64) bool {
	exceeds := func(sum, limit int64) bool { return sum > limit+limit/4 }
	return b.ending > 0 && exceeds(b.held+b.ending+bytes, b.limits.Bytes) ||
		head > 0 && b.endingHeads > 0 && exceeds(b.heads+b.endingHeads+head, b.limits.Heads)
}

// end ends the holder and returns its interrupt. The caller holds the mutex.
func (b *Budget) end(h *Holder) func() {
	h.ended = true
	b.place(h)
	b.held -= h.size
	b.heads -= h.head
	b.ending += h.size
	b.endingHeads += h.head
	b.ended++
	return h.interrupt
}

// place updates the places of the holder in the indexes. The caller holds the mutex.
func (b *Budget) place(h *Holder) {
	size, head := h.size, h.head
	if h.ended || h.released || h.interrupt == nil {
		size, head = 0, 0
	}
	b.bySize.set(&h.bySize, h, above(size, b.limits.Small))
	b.byHead.set(&h.byHead, h, above(head, b.limits.Small))
}

// above returns the size if it is above small, else 0.
func above(size, small int64) int64 {
	if size <= small {
		return 0
	}
	return size
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
	if h.released {
		return
	}
	h.released = true
	b.place(h)
	if h.ended {
		b.ending -= h.size
		b.endingHeads -= h.head
		return
	}
	b.held -= h.size
	b.heads -= h.head
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
	return b.held > b.limits.Bytes/2
}

// Held returns the sum of the holders that have not been ended, in bytes, and how many holders
// have been ended so far.
func (b *Budget) Held() (bytes int64, ended uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held, b.ended
}
