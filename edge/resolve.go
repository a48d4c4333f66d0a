package edge

import (
	"samphireferry.example/ferry/canary"
	"samphireferry.example/ferry/errkind"
	"samphireferry.example/ferry/platform/headers"
	"samphireferry.example/ferry/requesthead"
	"samphireferry.example/ferry/routing"
)

// match finds the route of the request.
func (x *exchange) match() error {
	if x.view.table == nil {
		return errkind.New(errkind.NoConfiguration, "")
	}
	route, ok, err := requesthead.Select(x.head, func(path string) (*routing.Route, bool) {
		return x.view.table.Match(x.r.Host, path, x.r.Method)
	})
	if err != nil {
		x.countHeadRefusal(err)
		return err
	}
	if !ok {
		return errkind.New(errkind.UnknownRoute, "")
	}
	x.route = route
	x.atMostOnce = x.atMostOnce || route.AtMostOnce
	return nil
}

// authenticate finds the customer by the API key of the request.
func (x *exchange) authenticate() error {
	x.customer = nil
	if x.route.Open || len(x.view.table.Customers) == 0 {
		return nil
	}
	if x.caller.Key == "" {
		return errkind.New(errkind.KeyMissing, "")
	}
	key, ok := x.view.table.Key(routing.HashKey(x.caller.Key))
	if !ok {
		return errkind.New(errkind.KeyUnknown, "")
	}
	x.customer = key.Customer
	return nil
}

// chooseService chooses the service of the route, or one of its split. The service
// chosen before is kept if the split still has it.
func (x *exchange) chooseService() {
	split := x.view.splits[x.route.Name]
	if split == nil {
		x.service = x.route.Service
		return
	}
	if x.service != nil {
		if kept := split.service(x.service.Name); kept != nil {
			x.service = kept
			return
		}
	}
	x.service = split.next()
}

// chooseVersion decides whether the request is for the new version of a roll-out.
func (x *exchange) chooseVersion() {
	v := x.view.versions[x.service.Name]
	x.prefersNew = v.chooseNew(x.route.Name)
	x.canary = nil
	if v != nil && v.phase == canary.Canary {
		x.canary = &canaryChoice{split: v.split, route: x.route.Name, chosen: x.prefersNew}
	}
}

// chooseVersionAgain decides anew after a choice that was made with the last view.
func (x *exchange) chooseVersionAgain(last *view) {
	name := x.service.Name
	v := x.view.versions[name]
	x.prefersNew = v.chooseAgain(last.versions[name], x.prefersNew)
	if x.triedCanary && v != nil && v.phase == canary.Canary {
		// A second attempt at the new version would count twice for its share, and the old
		// one is known to work.
		x.prefersNew = false
	}
}

// returnUnsent takes a request out of the counts of the split if no upstream got it.
func (x *exchange) returnUnsent() {
	if len(x.tried) == 0 {
		x.canary.returnChoice(false)
	}
}

// setDeadline sets the deadline of the request from its arrival.
func (x *exchange) setDeadline() {
	limit := x.route.Timeout
	if x.caller.Deadline > 0 {
		limit = min(limit, x.caller.Deadline)
	}
	x.deadline = x.started.Add(limit)
}

// resolve decides the request anew by the newest configuration and roll-outs. It is
// called before each attempt: seconds may have passed since the last decision. An error
// means that the request is not allowed any more.
func (x *exchange) resolve() error {
	last := x.view
	x.view = x.deps.views.load()
	if x.view.table == last.table {
		x.chooseVersionAgain(last)
		return nil
	}
	err := x.match()
	if err != nil {
		return err
	}
	err = x.authenticate()
	if err != nil {
		return err
	}
	before := x.service.Name
	x.chooseService()
	if x.service.Name == before {
		x.chooseVersionAgain(last)
	} else {
		x.returnUnsent()
		x.chooseVersion()
	}
	headers.PrepareForwarded(x.r.Header, x.customerName())
	x.request.Route, x.request.Customer = x.route, x.customer
	return nil
}
