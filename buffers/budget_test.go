package buffers

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

// hold returns a holder of the bytes that records whether it was interrupted.
func hold(b *Budget, bytes int64) (*Holder, *bool) {
	h, interrupted := b.Hold(), false
	h.Interrupt(func() { interrupted = true })
	h.Grow(bytes)
	return h, &interrupted
}

func TestTheLargestHolderIsEndedFirst(t *testing.T) {
	b := New(Limits{Bytes: 100 << 10})
	small, smallEnded := hold(b, 10<<10)
	large, largeEnded := hold(b, 60<<10)
	assert.Assert(t, b.Scarce())
	middle, middleEnded := hold(b, 20<<10)
	assert.Assert(t, !*largeEnded)
	assert.Assert(t, middle.Grow(20<<10), "the largest is another one")
	assert.Assert(t, *largeEnded && large.Ended() && !*smallEnded && !*middleEnded)
	assert.Assert(t, !large.Grow(1), "an ended holder grows")
	held, ended := b.Held()
	assert.Equal(t, held, int64(50<<10))
	assert.Equal(t, ended, uint64(1))
	large.Release()
	middle.Release()
	small.Release()
	small.Release()
	held, _ = b.Held()
	assert.Equal(t, held, int64(0))
}

func TestAHolderThatIsTheLargestEndsItself(t *testing.T) {
	b := New(Limits{Bytes: 100 << 10})
	h, interrupted := hold(b, 90<<10)
	assert.Assert(t, !h.Grow(20<<10))
	assert.Assert(t, *interrupted)
}

func TestSmallHoldersAreNotEnded(t *testing.T) {
	b := New(Limits{Bytes: 10 * Small})
	for range 30 {
		_, interrupted := hold(b, Small)
		assert.Assert(t, !*interrupted)
	}
	_, interrupted := hold(b, Small+1)
	assert.Assert(t, *interrupted, "the only one that may be ended")
}

func TestAHolderWithoutAReadIsNotEnded(t *testing.T) {
	b := New(Limits{Bytes: 100 << 10})
	waiting := b.Hold()
	assert.Assert(t, waiting.Grow(90<<10))
	_, interrupted := hold(b, 20<<10)
	assert.Assert(t, *interrupted && !waiting.Ended())
}

// TestTheSumStaysWithinTheLimit lets holders grow, be interrupted and end in random order.
func TestTheSumStaysWithinTheLimit(t *testing.T) {
	const limit, most = 1 << 20, 100
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 1))
		b := New(Limits{Bytes: limit})
		var holders []*Holder
		for range 5000 {
			switch {
			case len(holders) < most && random.IntN(3) == 0:
				h, _ := hold(b, random.Int64N(Small))
				holders = append(holders, h)
			case len(holders) > 0 && random.IntN(8) == 0:
				n := random.IntN(len(holders))
				holders[n].Release()
				holders = append(holders[:n], holders[n+1:]...)
			case len(holders) > 0:
				holders[random.IntN(len(holders))].Grow(random.Int64N(64 << 10))
			}
			held, _ := b.Held()
			assert.Assert(t, held <= max(limit, most*Small), "seed %d: %d", seed, held)
		}
	}
}
