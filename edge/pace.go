package edge

import (
	"go.uber.org/zap"

	"samphireferry.example/ferry/placement"
)

// countChoice counts the choice of an upstream in a service whose upstreams state how long work
// takes there.
func (x *exchange) countChoice(lease *placement.Lease) {
	choice := lease.Choice
	if !choice.Paced {
		return
	}
	order := "preferred"
	if choice.Order > 1 {
		order = "alternate"
	}
	pace := "usual"
	switch {
	case choice.Pace > 1:
		pace = "slow"
	case choice.Pace < 1:
		pace = "fast"
	}
	u := lease.Upstream
	x.deps.metrics.Counter("ferry_paced_choices_total", "service", u.Service, "upstream", order, "pace", pace).Inc()
	if choice.First {
		x.deps.log.Info("upstreams state how long work takes", zap.String("service", u.Service))
	}
}
