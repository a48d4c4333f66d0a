package buffers

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"
)

func TestClassesFollowSizes(t *testing.T) {
	last := 0
	for size := int64(0); size < math.MaxInt64/9*8; size += 1 + size/20 {
		class := classOf(size)
		assert.Assert(t, class >= last && class < classCount, "%d", size)
		assert.Assert(t, size < 16 || classOf(size+size/7) > class, "%d", size)
		last = class
	}
}

// Guards against an instance that spends its processor time on the search for the largest of many holders,
// while thousands of requests wait for it.
func BenchmarkGrowBeyondTheLimit(b *testing.B) {
	const holders = 100_000
	budget := New(Limits{Bytes: holders * (Small + 1)})
	for range holders {
		h := budget.Hold()
		h.Interrupt(func() {})
		h.Grow(Small + 1)
	}
	for b.Loop() {
		h := budget.Hold()
		h.Interrupt(func() {})
		h.Grow(Small + 1)
		h.Release()
	}
}

// Guards against a caller that loses its body although one that has waited for longer holds as much.
func TestTheOldestOfEqualsIsEnded(t *testing.T) {
	b := New(Limits{Bytes: 100 << 10})
	first, firstEnded := hold(b, 30<<10)
	_, secondEnded := hold(b, 30<<10)
	_, thirdEnded := hold(b, 30<<10)
	first.Interrupt(nil)
	_, fourthEnded := hold(b, 30<<10)
	assert.Assert(t, !*firstEnded, "it cannot be ended")
	assert.Assert(t, *secondEnded && !*thirdEnded && !*fourthEnded)
}
