package upstream

import (
	"net/http"

	"github.com/samber/lo"

	"samphireferry.example/ferry/balancing"
	"samphireferry.example/ferry/errkind"
	"samphireferry.example/ferry/routing"
)

// ResultOf classifies an attempt for the balancer. The error is that of Send or
// of reading the response body; status is used only when it is nil.
func ResultOf(status int, err error) balancing.Result {
	if err == nil {
		return resultOfStatus(status)
	}
	reason, _ := RetryReason(err)
	switch errkind.Of(err) {
	case errkind.NoUpstream:
		return balancing.ResultUnreachable
	case errkind.Overloaded:
		return balancing.ResultShed
	case errkind.UpstreamTimeout, errkind.AnswerMismatched, errkind.AnswerTruncated:
		return balancing.ResultFailed
	case errkind.UpstreamFailed:
		return lo.Ternary(reason == "", balancing.ResultCanceled, balancing.ResultFailed)
	}
	return balancing.ResultCanceled
}

func resultOfStatus(status int) balancing.Result {
	if status >= http.StatusInternalServerError {
		return balancing.ResultError
	}
	return balancing.ResultOK
}

// ProbeTargets returns the probe targets for the upstreams, with the endpoints
// and the interval of their services. Upstreams of unknown services are skipped.
func ProbeTargets(table *routing.Table, upstreams []*routing.Upstream) []ProbeTarget {
	return lo.FilterMap(upstreams, func(u *routing.Upstream, _ int) (ProbeTarget, bool) {
		s := table.Service(u.Service)
		if s == nil {
			return ProbeTarget{}, false
		}
		return ProbeTarget{
			Upstream:   u.Name,
			Address:    u.Address,
			HealthPath: s.HealthPath,
			LoadPath:   s.LoadPath,
			Interval:   s.HealthInterval,
		}, true
	})
}
