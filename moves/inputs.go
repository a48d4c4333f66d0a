package moves

import "samphireferry.example/ferry/shift"

// Target names the upstreams of one service in one failure domain.
type Target struct {
	Service       string
	FailureDomain string
}

// Inputs holds the fleet state that the driver's decisions depend on.
type Inputs struct {
	// Loads is the load of each target; a missing target has an unknown load.
	Loads   map[Target]shift.Load
	Applied shift.AppliedSteps
}

func (in *Inputs) holdReason(r *Move) (shift.Reason, bool) {
	load, known := in.Loads[Target{r.Object.Service, r.Object.To}]
	if !known {
		return shift.ReasonLoadUnknown, true
	}
	return load.HoldReason(r.State == shift.Holding)
}
