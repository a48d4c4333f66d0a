package edge

import (
	"github.com/cockroachdb/errors"

	"samphireferry.example/ferry/buffers"
	"samphireferry.example/ferry/config/static"
	"samphireferry.example/ferry/headgate"
	"samphireferry.example/ferry/platform/headers"
	"samphireferry.example/ferry/requesthead"
	"samphireferry.example/ferry/telemetry"
)

// newHeads returns what the connections of the instance share to inspect heads.
func newHeads(settings *static.EdgeSettings, budget *buffers.Budget, metrics *telemetry.Metrics) *headgate.Options {
	return &headgate.Options{
		Limits:  requesthead.LimitsFor(int(settings.MaxHeader), settings.MaxHeaderLines, settings.MaxEmptyLines),
		Timeout: settings.HeaderTimeout,
		Budget:  budget,
		Count:   func(reason requesthead.Reason) { countHeadRefusal(metrics, reason) },
	}
}

func countHeadRefusal(metrics *telemetry.Metrics, reason requesthead.Reason) {
	metrics.Counter("ferry_heads_refused_total", "reason", string(reason)).Inc()
}

// headFields are the fields that Accept treats specially.
var headFields = headers.RequestFields()

// acceptHead decides whether the head of the request is accepted, before any other part reads it. It
// returns the function that releases the memory of the request.
func (x *exchange) acceptHead() (release func(), err error) {
	release = func() {}
	if x.conn != nil {
		// The memory of the head is in use until the server has ended the request.
		x.held, err = x.conn.gate.Take(x.r)
	} else {
		x.held = x.deps.buffers.Hold()
		release = x.held.Release
	}
	if err != nil {
		x.w.Header().Set("Connection", "close")
		return release, err
	}
	x.head, err = requesthead.Accept(x.r, headFields)
	x.countHeadRefusal(err)
	if err != nil {
		return release, err
	}
	x.caller = headers.ParseCaller(x.r.Header)
	return release, nil
}

// countHeadRefusal counts an error that is a refusal of the head.
func (x *exchange) countHeadRefusal(err error) {
	var refusal *requesthead.Refusal
	if errors.As(err, &refusal) {
		countHeadRefusal(x.deps.metrics, refusal.Reason)
	}
}
