package buffers

import "sync"

// Small is the number of bytes up to which a holder is never ended.
const Small = 16 << 10

// Budget is the memory for the bodies of all requests that run. It is safe for concurrent use.
type Budget struct {
	limit int64

	mu sync.Mutex
	// held is the sum of the holders that have not been ended, in bytes.
	held    int64
	holders map[*Holder]struct{}
	ended   uint64
}

// New returns a budget of limit bytes.
func New(limit int64) *Budget {
	return &Budget{limit: limit, holders: map[*Holder]struct{}{}}
}

// Holder is the part of one request. Its methods may be called by one goroutine at a time.
type Holder struct {
	budget *Budget
	// The mutex of the budget guards the rest.
	size      int64
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
func (h *Holder) Grow(bytes int64) bool {
	b := h.budget
	b.mu.Lock()
	if h.ended {
		b.mu.Unlock()
		return false
	}
	h.size += bytes
	b.held += bytes
	var interrupts []func()
	for b.held > b.limit {
		largest := b.largest()
		if largest == nil {
			break
		}
		largest.ended = true
		b.held -= largest.size
		b.ended++
		interrupts = append(interrupts, largest.interrupt)
	}
	mayGoOn := !h.ended
	b.mu.Unlock()
	for _, interrupt := range interrupts {
		interrupt()
	}
	return mayGoOn
}

// largest returns the largest holder that may be ended, or nil. The caller holds the mutex.
func (b *Budget) largest() *Holder {
	var largest *Holder
	for h := range b.holders {
		if !h.ended && h.interrupt != nil && h.size > Small && (largest == nil || h.size > largest.size) {
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
	}
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
