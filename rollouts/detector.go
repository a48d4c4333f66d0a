package rollouts

import "math"

// maxSliceLikelihoodRatio bounds the likelihood ratio of one slice, so that a
// single burst of failures is not enough for a verdict.
const maxSliceLikelihoodRatio = 200

// Weights of the products of likelihood ratios, by the slice in which a product
// starts. The weights of all products sum to at most 1.
const (
	// firstWeight is the weight of the product that starts with the first slice.
	firstWeight = 0.5
	// stepWeight is the weight of a product that starts with a step, since many
	// faults appear only under more load.
	stepWeight = 0.02
	// laterWeight is the total weight of the products that start with any other
	// slice.
	laterWeight = 0.2
)

// testedOddsRatios holds the odds ratios of the alternative hypotheses.
var testedOddsRatios = [...]float64{3, 10, 50}

// detector accumulates the evidence for one measure on one route.
type detector struct {
	evidence [len(testedOddsRatios)]float64
	// remainingWeight is 1 less the weights already assigned.
	remainingWeight  float64
	nextWeight       float64
	laterSliceWeight float64
}

// newDetector returns a detector for approximately the given number of slices.
func newDetector(slices int) detector {
	return detector{
		remainingWeight:  1,
		nextWeight:       firstWeight,
		laterSliceWeight: laterWeight / float64(max(slices, 1)),
	}
}

// startStep raises the weight of the product that starts with the next slice to
// at least stepWeight.
func (d *detector) startStep() { d.nextWeight = max(d.nextWeight, stepWeight) }

// add updates the evidence with one slice. The tables are alternative counts of
// the slice; the smallest likelihood ratio among them is used.
func (d *detector) add(tables ...contingencyTable) {
	weight := min(d.nextWeight, d.remainingWeight)
	d.remainingWeight -= weight
	d.nextWeight = d.laterSliceWeight
	for i, oddsRatio := range testedOddsRatios {
		likelihoodRatio := float64(maxSliceLikelihoodRatio)
		for _, t := range tables {
			likelihoodRatio = min(likelihoodRatio, math.Exp(t.scaled().logLikelihoodRatio(oddsRatio)))
		}
		d.evidence[i] = (d.evidence[i] + weight) * likelihoodRatio
	}
}

// value returns the evidence against the new version. If the versions behave
// alike, the probability that it ever exceeds x is at most 1/x.
func (d *detector) value() float64 {
	sum := 0.0
	for _, e := range d.evidence {
		sum += e
	}
	return sum / float64(len(d.evidence))
}
