package edge

import (
	"strconv"
	"time"

	"github.com/samber/lo"
	"go.uber.org/zap"

	"samphireferry.example/ferry/errkind"
	"samphireferry.example/ferry/overload"
	"samphireferry.example/ferry/placement"
	"samphireferry.example/ferry/routing"
)

// prioritiesOf returns the priorities of the requests for each service, with the shortest timeout of
// each.
func prioritiesOf(table *routing.Table) map[string]overload.Priorities {
	services := map[string]overload.Priorities{}
	customers := prioritiesOfCustomers(table)
	for _, route := range table.Routes {
		for _, customer := range customers {
			if route.Open {
				customer = nil
			}
			addPriority(services, route, route.PriorityOf(customer))
		}
	}
	return services
}

// prioritiesOfCustomers returns one customer for each priority that customers have, nil for those
// without one. Without customers it returns nil only.
func prioritiesOfCustomers(table *routing.Table) []*routing.Customer {
	if len(table.Customers) == 0 {
		return []*routing.Customer{nil}
	}
	byPriority := lo.UniqBy(table.Customers, func(c *routing.Customer) string {
		if c.Priority == nil {
			return ""
		}
		return strconv.Itoa(*c.Priority)
	})
	return lo.Map(byPriority, func(c *routing.Customer, _ int) *routing.Customer {
		if c.Priority == nil {
			return nil
		}
		return c
	})
}

func addPriority(services map[string]overload.Priorities, route *routing.Route, priority int) {
	names := []string{route.Service.Name}
	for _, part := range route.Split {
		names = append(names, part.Service.Name)
	}
	for _, name := range names {
		if services[name] == nil {
			services[name] = overload.Priorities{}
		}
		shortest, known := services[name][priority]
		if !known || route.Timeout < shortest {
			services[name][priority] = route.Timeout
		}
	}
}

// limitByPriority refuses the request if the room of its service is for others. Services whose
// requests all have one priority are not limited.
func (x *exchange) limitByPriority() error {
	if !x.deps.gate.Limits(x.service.Name) {
		return nil
	}
	decision := x.decideAt(x.service)
	if decision.Admitted {
		return nil
	}
	x.deps.metrics.Counter("ferry_overload_refusals_total", "service", x.service.Name, "reason", decision.Reason.String()).Inc()
	refusal := errkind.New(errkind.Overloaded, "limited by "+decision.Reason.String())
	refusal.RetryAfter = decision.RetryAfter
	return refusal
}

// decideAt decides whether the request may go to the service.
func (x *exchange) decideAt(service *routing.Service) overload.Decision {
	return x.deps.gate.Decide(x.started, x.overloadRequest(service), func() overload.Room { return x.deps.roomOf(service.Name) })
}

func (x *exchange) overloadRequest(service *routing.Service) overload.Request {
	return overload.Request{
		Service:   service.Name,
		Priority:  x.route.PriorityOf(x.customer),
		Customer:  x.customerName(),
		Object:    x.objectHash(),
		HasObject: x.caller.ObjectKey != "",
		Timeout:   x.route.Timeout,
		Objective: x.route.TargetLatency,
		Left:      x.caller.Deadline,
	}
}

// roomOf returns what this instance knows about the upstreams of the service.
func (d *dependencies) roomOf(service string) overload.Room {
	utilization, serviceTime, known := d.pool.Room(time.Now(), placement.Query{Service: service})
	return overload.Room{Known: known, Utilization: utilization, ServiceTime: serviceTime}
}

// logLimits logs when the priorities of a service begin or cease to be limited.
func (c *control) logLimits() {
	if c.table == nil {
		return
	}
	for _, service := range c.table.Services {
		fractions := c.deps.gate.Fractions(service.Name)
		limited := false
		for _, fraction := range fractions {
			limited = limited || fraction < 1
		}
		if limited == c.limited[service.Name] {
			continue
		}
		c.limited[service.Name] = limited
		room := c.deps.roomOf(service.Name)
		c.deps.log.Info("requests limited by priority",
			zap.String("service", service.Name),
			zap.Bool("limited", limited),
			zap.Float64("utilization", room.Utilization),
			zap.Duration("service_time", room.ServiceTime),
			zap.Any("fractions", fractions),
		)
	}
}
