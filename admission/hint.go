package admission

import "time"

// hintMaxAge is the time after which a peer is expected to have a token again,
// whatever it reported in its last response.
const hintMaxAge = 500 * time.Millisecond

// minGainFactor is the least gain to expect of a peer, as a multiple of an equal
// share of the rate.
const minGainFactor = 1

// hint estimates how many tokens of one customer a peer can lend, from the peer's
// responses.
type hint struct {
	// remaining is what the peer could still lend at updatedAt, in tokens.
	remaining float64
	updatedAt time.Time
	// gain is the estimated number of tokens per second that the peer gains for
	// lending.
	gain float64
}

// hint returns the peer's hint for the customer that needs tokens, and creates it if
// there is none.
func (p *peerState) hint(now time.Time, need need) *hint {
	h := p.hints[need.bucket.customer]
	if h == nil {
		h = newHint(now, need)
		p.hints[need.bucket.customer] = h
	}
	return h
}

// newHint returns the hint for a peer that has sent no response yet: it is assumed
// to have an equal share of the customer's rate and burst.
func newHint(now time.Time, need need) *hint {
	return &hint{remaining: need.equalBurst, updatedAt: now, gain: need.equalRate}
}

// expected returns how many tokens the peer can probably lend.
func (h *hint) expected(now time.Time, need need) float64 {
	age := now.Sub(h.updatedAt)
	gain := max(h.gain, minGainFactor*need.equalRate)
	tokens := min(h.remaining+gain*age.Seconds(), max(h.remaining, need.equalBurst))
	if age >= hintMaxAge {
		return max(tokens, 1)
	}
	return tokens
}

// update updates the estimate from a response.
func (h *hint) update(now time.Time, g Grant) {
	remaining := nonNegative(g.Remaining)
	elapsed := now.Sub(h.updatedAt).Seconds()
	if elapsed > 0 {
		gained := nonNegative(g.Reserve) + nonNegative(g.Spend) + remaining - h.remaining
		h.gain = (h.gain + nonNegative(gained)/elapsed) / 2
	}
	h.remaining = remaining
	h.updatedAt = now
}
