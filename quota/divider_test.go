package quota

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// fleet is some dividers that tell each other their demand.
type fleet struct {
	now      time.Time
	dividers []*Divider
	arrived  []uint64
	// cut holds the instances that hear no one and are not heard.
	cut map[int]bool
}

const (
	rate = 100.0
	tick = 100 * time.Millisecond
	// beat is the number of ticks between two heartbeats.
	beat = 10
)

func newFleet(n int) *fleet {
	f := &fleet{now: start, arrived: make([]uint64, n), cut: map[int]bool{}}
	for range n {
		d := New()
		d.Configure([]Customer{{Name: "acme", Rate: rate, Burst: rate}})
		f.dividers = append(f.dividers, d)
	}
	return f
}

// run lets demand come for the ticks and returns the largest sum of the parts.
func (f *fleet) run(ticks int, demand []float64, random *rand.Rand) float64 {
	largest := 0.0
	for i := range ticks {
		f.now = f.now.Add(tick)
		for n, d := range f.dividers {
			f.arrived[n] += arrivals(demand[n]*tick.Seconds(), random)
			d.SetPeers(f.peersOf(n), len(f.cut) == 0)
			d.Tick(f.now, func(string) uint64 { return f.arrived[n] })
		}
		if i%beat == 0 {
			f.exchange()
		}
		largest = max(largest, f.sum())
	}
	return largest
}

// arrivals draws a whole number with the mean.
func arrivals(mean float64, random *rand.Rand) uint64 {
	n := uint64(mean)
	if random.Float64() < mean-math.Floor(mean) {
		n++
	}
	return n
}

func (f *fleet) peersOf(n int) []string {
	var names []string
	for i := range f.dividers {
		if i != n {
			names = append(names, fmt.Sprint(i))
		}
	}
	return names
}

func (f *fleet) exchange() {
	for n, d := range f.dividers {
		for i, other := range f.dividers {
			if i != n && !f.cut[i] && !f.cut[n] {
				d.Hear(f.now, fmt.Sprint(i), other.Demand())
			}
		}
	}
}

func (f *fleet) sum() float64 {
	total := 0.0
	for _, d := range f.dividers {
		total += d.Parts()[0].Rate
	}
	return total
}

func TestPartsFollowTheDemand(t *testing.T) {
	f := newFleet(4)
	random := rand.New(rand.NewPCG(1, 1))
	f.run(100, []float64{60, 20, 0, 0}, random)
	assert.Assert(t, f.sum() > 0.85*rate && f.sum() <= 1.1*rate, "%f", f.sum())
	first, last := f.dividers[0].Parts()[0].Rate, f.dividers[3].Parts()[0].Rate
	assert.Assert(t, first > 40, "%f", first)
	assert.Assert(t, last >= floorShare*rate/4-1e-9, "%f", last)
}

// TestPartsStayWithinTheWholeWhileDemandMoves lets a customer ask eight times its
// usual, elsewhere than before, and cuts an instance off.
func TestPartsStayWithinTheWholeWhileDemandMoves(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 2))
		f := newFleet(5)
		largest := f.run(60, []float64{30, 10, 5, 5, 0}, random)
		largest = max(largest, f.run(60, []float64{0, 0, 200, 200, 100}, random))
		f.cut[int(seed)%5] = true
		largest = max(largest, f.run(60, []float64{100, 20, 0, 300, 0}, random))
		delete(f.cut, int(seed)%5)
		largest = max(largest, f.run(60, []float64{10, 10, 10, 10, 10}, random))
		assert.Assert(t, largest <= 1.16*rate, "seed %d: the parts add up to %f", seed, largest)
	}
}

func TestAnInstanceThatStartsHasAnEqualPart(t *testing.T) {
	d := New()
	d.Configure([]Customer{{Name: "acme", Rate: rate, Burst: 8}, {Name: "free"}})
	d.SetPeers([]string{"a", "b", "c"}, true)
	parts := d.Parts()
	assert.Equal(t, len(parts), 1, "a customer without a rate is not divided")
	assert.Equal(t, parts[0].Rate, rate/4)
	assert.Equal(t, parts[0].Burst, 2)
}

func TestWindowedAdmitsNoMoreThanTheWindowAllows(t *testing.T) {
	const window = 5 * time.Second
	c := Windowed(Customer{Name: "acme", Rate: 9, Burst: 110}, window)
	whole := 9*window.Seconds() + 110
	assert.Assert(t, c.Rate*window.Seconds()+c.Burst <= whole+1e-9)
	assert.Assert(t, c.Rate*window.Seconds()+c.Burst >= whole-1e-9)
}
