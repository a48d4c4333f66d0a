package canary

import "math"

const (
	// zBound is the number of standard deviations by which the failure rates must
	// differ: one false alarm in some ten thousand looks.
	zBound = 3.7
	// minDifference is the least difference of the failure rates that matters.
	minDifference = 0.1
	// minFailures keeps single failures from deciding.
	minFailures = 4
	// minBaseline is the number of answers of the old version without which there
	// is nothing to compare with.
	minBaseline = 10
)

// Count is what one version has answered.
type Count struct {
	Answers  uint32
	Failures uint32
}

// Plus returns the sum.
func (c Count) Plus(other Count) Count {
	return Count{Answers: c.Answers + other.Answers, Failures: c.Failures + other.Failures}
}

func (c Count) rate() float64 { return float64(c.Failures) / float64(max(c.Answers, 1)) }

// Worse says whether the new version fails more often than the old one by more
// than chance explains.
func Worse(old, fresh Count) bool {
	if old.Answers < minBaseline || fresh.Failures < minFailures || fresh.rate() < old.rate()+minDifference {
		return false
	}
	n0, n1 := float64(old.Answers), float64(fresh.Answers)
	f0, f1 := float64(old.Failures), float64(fresh.Failures)
	pooled := (f0 + f1) / (n0 + n1)
	deviation := math.Sqrt(pooled * (1 - pooled) * (1/n0 + 1/n1))
	return deviation > 0 && (f1/n1-f0/n0)/deviation > zBound
}
