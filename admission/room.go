package admission

import (
	"time"

	"samphireferry.example/ferry/errkind"
	"samphireferry.example/ferry/sharetable"
)

// Room is what a customer has left at this instance.
type Room struct {
	// Tokens is the number of tokens of the bucket.
	Tokens float64
	// Share is the customer's share in force here.
	Share sharetable.Share
	// Waiting is the number of requests that wait for a loan.
	Waiting int
	// Decision is what Admit would decide on a request.
	Decision Decision
	// MayWait reports whether a request that Admit refuses may wait for a loan.
	MayWait bool
}

// Room returns what the bucket's customer has left, for a request with the deadline. It takes no
// token and counts nothing.
func (l *Limiter) Room(now time.Time, b *Bucket, deadline time.Time) Room {
	usable := l.usable(now)
	b.mu.Lock()
	defer b.mu.Unlock()
	tokens, _ := b.refilled(max(now.Sub(b.refilledAt), 0))
	r := Room{Tokens: tokens, Share: b.share, Waiting: len(b.waiting)}
	switch {
	case !usable:
		r.Decision = unconfirmed
	case r.Tokens >= 1:
		r.Decision = admitted
	default:
		r.Decision = Decision{Kind: errkind.RateExceeded, RetryAfter: b.retryAfterAt(r.Tokens)}
		r.MayWait = l.mayWait(now, b, deadline)
	}
	return r
}
