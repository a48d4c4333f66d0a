package rollouts

import "math"

// maxSliceRequests bounds the computation for one slice; larger slices are
// scaled down.
const maxSliceRequests = 4096

// contingencyTable is the 2x2 table of one slice: the requests of both versions
// and how many of them had the tested event.
type contingencyTable struct {
	newRequests uint64
	oldRequests uint64
	newEvents   uint64
	oldEvents   uint64
}

// scaled returns the table with at most maxSliceRequests requests. Event
// counts of the new version are rounded down, those of the old one up.
func (t contingencyTable) scaled() contingencyTable {
	total := t.newRequests + t.oldRequests
	if total <= maxSliceRequests {
		return t
	}
	factor := float64(maxSliceRequests) / float64(total)
	scale := func(n uint64) float64 { return float64(n) * factor }
	t.newEvents = uint64(scale(t.newEvents))
	t.oldEvents = uint64(math.Ceil(scale(t.oldEvents)))
	t.newRequests = uint64(math.Ceil(scale(t.newRequests)))
	t.oldRequests = uint64(math.Ceil(scale(t.oldRequests)))
	return t
}

// logLikelihoodRatio returns the natural logarithm of the ratio between the
// likelihood of the table when the odds of the event for the new version are
// oddsRatio times those for the old one, and its likelihood when the odds are
// equal. It is conditional on the row and column sums, so the number of new
// events has Fisher's noncentral hypergeometric distribution.
func (t contingencyTable) logLikelihoodRatio(oddsRatio float64) float64 {
	events := t.newEvents + t.oldEvents
	if events == 0 {
		return 0
	}
	lowest := uint64(0)
	if events > t.oldRequests {
		lowest = events - t.oldRequests
	}
	highest := min(events, t.newRequests)
	logOddsRatio := math.Log(oddsRatio)
	weight := 0.0
	equal := math.Inf(-1)
	higher := math.Inf(-1)
	for k := lowest; ; k++ {
		equal = logAdd(equal, weight)
		higher = logAdd(higher, weight+float64(k)*logOddsRatio)
		if k == highest {
			break
		}
		ways := float64(t.newRequests-k) * float64(events-k)
		weight += math.Log(ways / (float64(k+1) * float64(t.oldRequests+k+1-events)))
	}
	return float64(t.newEvents)*logOddsRatio - higher + equal
}

// logAdd returns log(exp(a) + exp(b)).
func logAdd(a, b float64) float64 {
	if a < b {
		a, b = b, a
	}
	if math.IsInf(b, -1) {
		return a
	}
	return a + math.Log1p(math.Exp(b-a))
}
