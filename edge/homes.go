package edge

import (
	"time"

	"go.uber.org/zap"

	"samphireferry.example/ferry/routing"
)

// checkHomes logs and counts an attempt at an upstream in a region that the newest
// configuration of this instance does not allow.
func (x *exchange) checkHomes(upstream *routing.Upstream) {
	newest := x.deps.views.load().table
	route, customer := x.route, x.customer
	if newest != x.view.table {
		var ok bool
		route, ok = newest.Match(x.r.Host, x.r.URL.Path, x.r.Method)
		if !ok {
			return
		}
		if key, ok := newest.Key(routing.HashKey(x.caller.Key)); ok && !route.Open {
			customer = key.Customer
		}
	}
	if route.AllowsRegion(customer, upstream.Region) {
		return
	}
	x.deps.metrics.Counter("ferry_attempts_outside_homes_total", "service", x.service.Name).Inc()
	x.deps.log.Warn("attempt outside the home regions",
		zap.String("request_id", x.caller.AttemptID),
		zap.String("route", route.Name),
		zap.String("customer", x.customerName()),
		zap.Uint64("config_version", x.configVersion()),
		zap.Uint64("newest_config_version", newest.Version),
		zap.Strings("route_homes", route.HomeRegions),
		zap.Strings("customer_homes", customer.Homes()),
		zap.Strings("tried", x.tried),
		zap.String("upstream_region", upstream.Region),
		zap.Duration("age", time.Since(x.started)),
	)
}
