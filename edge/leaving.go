package edge

import (
	"net/http"
	"time"

	"go.uber.org/zap"

	"samphireferry.example/ferry/placement"
	"samphireferry.example/ferry/platform/headers"
)

// observeLeaving records whether a response of the upstream states that it leaves.
func (x *exchange) observeLeaving(lease *placement.Lease, header http.Header) {
	if !headers.ReadLeaving(header) || !lease.RecordLeaving(time.Now()) {
		return
	}
	u := lease.Upstream
	// Requests that run there keep their connections, which close afterwards.
	x.deps.upstreams.Drop(u.Name)
	x.deps.metrics.Counter("ferry_upstreams_leaving_total", "service", u.Service).Inc()
	x.deps.log.Info("upstream leaves, as its response states",
		zap.String("request_id", x.caller.AttemptID),
		zap.String("upstream", u.Name),
		zap.String("service", u.Service),
	)
}
