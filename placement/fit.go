package placement

// fit is how a candidate suits a request by its load.
type fit uint8

const (
	// fitNone means that its queue is too long.
	fitNone fit = iota
	// fitChosen means that it gets the request.
	fitChosen
	// fitSpill means that it gets the request if one may leave the region now.
	fitSpill
	// fitFallback means that it gets the request unless another candidate does.
	fitFallback
)

// fitOf returns the fit of a candidate that would have the utilization with the request. first
// is set for the first eligible candidate, otherRegion for one outside the preferred region.
func fitOf(first, otherRegion bool, utilization, maxUtilization float64) fit {
	switch {
	case first && utilization <= min(1+maxPreferredQueuePerSlot, maxUtilization), !otherRegion && utilization <= maxSecondaryUtilization:
		return fitChosen
	case otherRegion && utilization <= maxSecondaryUtilization:
		return fitSpill
	case first && utilization <= min(1+maxQueuePerSlot, maxUtilization):
		return fitFallback
	}
	return fitNone
}
