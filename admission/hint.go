package admission

import "time"

// hintAge is the time after which a peer that had nothing is asked again.
const hintAge = 500 * time.Millisecond

// leastGain is the least gain to expect, as a part of an equal share of the rate.
const leastGain = 1

// hint is what the answers of one peer say about one customer.
type hint struct {
	// remaining is what the peer could lend besides at the time at.
	remaining float64
	at        time.Time
	// gain is the estimate of the tokens per second that it gets to lend.
	gain float64
}

// hint returns what is known of the customer that needs tokens.
func (p *peerState) hint(now time.Time, need need) *hint {
	h := p.hints[need.bucket.customer]
	if h == nil {
		h = newHint(now, need)
		p.hints[need.bucket.customer] = h
	}
	return h
}

// newHint returns the hint of a peer that has not been asked: it is taken to
// have an equal share of the customer's rate and burst.
func newHint(now time.Time, need need) *hint {
	return &hint{remaining: need.equalBurst, at: now, gain: need.equalRate}
}

// expected returns how many tokens the peer can probably lend.
func (h *hint) expected(now time.Time, need need) float64 {
	age := now.Sub(h.at)
	gain := max(h.gain, leastGain*need.equalRate)
	tokens := min(h.remaining+gain*age.Seconds(), max(h.remaining, need.equalBurst))
	if age >= hintAge {
		return max(tokens, 1)
	}
	return tokens
}

// learn takes in an answer.
func (h *hint) learn(now time.Time, g Grant) {
	remaining := positive(g.Remaining)
	elapsed := now.Sub(h.at).Seconds()
	if elapsed > 0 {
		gained := positive(g.Reserve) + positive(g.Spend) + remaining - h.remaining
		h.gain = (h.gain + positive(gained)/elapsed) / 2
	}
	h.remaining = remaining
	h.at = now
}
