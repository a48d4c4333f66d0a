package admission

import "time"

// The least and the largest factor by which a RetryAfter may be longer than the time until the
// bucket has a token.
const (
	minSpread = 1.25
	maxSpread = 8.0
)

// spread makes the RetryAfter of a refusal longer by a random part, so that those who are refused
// together do not return together. A bucket gets one token for each of the requests that are refused
// in the meantime if they return evenly over as many token times as the demand is times the rate.
// The caller holds the lock of the bucket.
func (l *Limiter) spread(b *Bucket, after time.Duration) time.Duration {
	if l.settings.Jitter == nil || b.share.Rate <= 0 {
		return after
	}
	factor := min(max(b.demand.perSecond/b.share.Rate, minSpread), maxSpread)
	longer := time.Duration(float64(after) * (1 + (factor-1)*l.settings.Jitter()))
	return min(longer, max(after, maxRetryAfter))
}
