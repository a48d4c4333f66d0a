package rollouts

import "math"

// maxSliceRatio bounds the ratio of one slice, so that a single burst of
// failures is not enough for a verdict.
const maxSliceRatio = 200

// The weights of the evidence from each moment on; they sum to 1.
const (
	// firstWeight is that of the evidence from the very start.
	firstWeight = 0.5
	// stepWeight is that of the evidence from one step on, since many faults
	// show under more load.
	stepWeight = 0.02
	// laterWeight is that of the evidence from all other slices on together.
	laterWeight = 0.2
)

// oddsTested are the odds ratios that the test looks for.
var oddsTested = [...]float64{3, 10, 50}

// detector accumulates the evidence of one measure on one route.
type detector struct {
	evidence [len(oddsTested)]float64
	// weightLeft is what is left of the weights, which sum to 1.
	weightLeft float64
	nextWeight float64
	laterOne   float64
}

// newDetector returns a detector for about the given number of slices.
func newDetector(slices int) detector {
	return detector{
		weightLeft: 1,
		nextWeight: firstWeight,
		laterOne:   laterWeight / float64(max(slices, 1)),
	}
}

// stepped gives more weight to the evidence from the next slice on.
func (d *detector) stepped() { d.nextWeight = max(d.nextWeight, stepWeight) }

// add takes in one slice, with the tables that it may have; the weakest
// evidence of them counts.
func (d *detector) add(tables ...table2x2) {
	weight := min(d.nextWeight, d.weightLeft)
	d.weightLeft -= weight
	d.nextWeight = d.laterOne
	for i, theta := range oddsTested {
		ratio := float64(maxSliceRatio)
		for _, t := range tables {
			ratio = min(ratio, math.Exp(t.scaled().logLikelihoodRatio(theta)))
		}
		d.evidence[i] = (d.evidence[i] + weight) * ratio
	}
}

// value returns the evidence against the new version. If the versions are
// alike, it ever exceeds x with a probability of at most 1/x.
func (d *detector) value() float64 {
	sum := 0.0
	for _, e := range d.evidence {
		sum += e
	}
	return sum / float64(len(d.evidence))
}
