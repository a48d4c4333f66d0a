package quota

import "time"

// bucket is a token bucket. It starts empty.
type bucket struct {
	rate   float64
	size   float64
	tokens float64
	last   time.Time
}

// set changes the rate and the size. Tokens beyond the size are lost.
func (b *bucket) set(now time.Time, rate, size float64) {
	b.fill(now)
	b.rate = rate
	b.size = size
	b.tokens = min(b.tokens, size)
}

func (b *bucket) fill(now time.Time) {
	if !b.last.IsZero() && now.After(b.last) {
		b.tokens = min(b.size, b.tokens+now.Sub(b.last).Seconds()*b.rate)
	}
	b.last = now
}

// take removes one token, if there is one.
func (b *bucket) take(now time.Time) bool {
	b.fill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
