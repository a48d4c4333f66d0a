package edge

import (
	"encoding/json"
	"net/http"
	"net/url"
	"time"

	"github.com/samber/lo"
	"go.uber.org/zap"

	"samphireferry.example/ferry/canary"
	"samphireferry.example/ferry/errkind"
	"samphireferry.example/ferry/operator/where"
	"samphireferry.example/ferry/placement"
	"samphireferry.example/ferry/platform/headers"
	"samphireferry.example/ferry/requesthead"
	"samphireferry.example/ferry/routing"
)

// whereHandler answers where a request would go now. It sends and counts nothing, and names
// customers but no key.
type whereHandler struct {
	deps *dependencies
}

// ServeHTTP implements http.Handler.
func (h *whereHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	question := r.URL.Query()
	target, err := url.ParseRequestURI(question.Get(where.ParamPath))
	if err != nil || target.Host != "" {
		http.Error(w, "path must be the path of a request, such as /read/7", http.StatusBadRequest)
		return
	}
	method := question.Get(where.ParamMethod)
	if method == "" {
		method = http.MethodGet
	}
	x := &exchange{
		deps:    h.deps,
		r:       &http.Request{Method: method, Host: question.Get(where.ParamHost), URL: target},
		started: time.Now(),
		view:    h.deps.views.load(),
		caller:  headers.Caller{ObjectKey: question.Get(where.ParamObject), AttemptID: question.Get(where.ParamAttempt)},
	}
	x.r.RequestURI = question.Get(where.ParamPath)
	x.head, err = requesthead.Accept(x.r, headFields)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	err = json.NewEncoder(w).Encode(x.where(question.Get(where.ParamCustomer)))
	if err != nil {
		h.deps.log.Debug("answer to an operator could not be written", zap.Error(err))
	}
}

// where returns what would be done with the request of the customer. It follows serve, with the
// reads of the limiters and splits that change nothing.
func (x *exchange) where(customer string) *where.Answer {
	identity := x.deps.identity
	a := &where.Answer{
		Instance:      identity.GetName(),
		FailureDomain: identity.GetFailureDomain(),
		Region:        identity.GetRegion(),
		ConfigVersion: x.configVersion(),
		Leaving:       x.view.leaving || x.deps.stopping.begun(),
	}
	err := x.match()
	if err == nil {
		err = x.customerNamed(customer)
		a.Customer = x.customerName()
		a.Route = &where.Route{
			Name:          x.route.Name,
			Host:          x.route.Host,
			Prefix:        x.route.PathPrefix + "/",
			AtMostOnce:    x.route.AtMostOnce,
			Priority:      x.route.PriorityOf(x.customer),
			TimeoutMillis: x.route.Timeout.Milliseconds(),
		}
	}
	if err != nil {
		a.Refusal = errkind.Of(err).String()
		return a
	}
	x.setDeadline()
	if err = x.explainRate(a); err != nil {
		a.Refusal = errkind.Of(err).String()
	}
	x.service = x.route.Service
	if split := x.view.splits[x.route.Name]; split != nil {
		var parts []routing.WeightedService
		x.service, parts = split.peek()
		a.Split = lo.Map(parts, func(p routing.WeightedService, _ int) where.Share {
			return where.Share{Service: p.Service.Name, Weight: p.Weight}
		})
	}
	a.Service = x.service.Name
	if fraction, known := x.deps.gate.Fractions(x.service.Name)[x.route.PriorityOf(x.customer)]; known {
		a.PriorityFraction = &fraction
	}
	a.Order = "object"
	if x.caller.ObjectKey == "" {
		a.Order = "attempt"
	}
	e := x.explain(a)
	switch {
	case a.Refusal != "":
	case e.Refusal == placement.NoCandidates:
		a.Refusal = errkind.NoUpstream.String()
	case e.Refusal == placement.AllBusy:
		a.Refusal = errkind.Overloaded.String()
	default:
		a.Upstream = e.Chosen.Name
	}
	return a
}

// explainRate adds what the customer has left to the answer. It returns the refusal by admit, which
// may come after a wait for a loan.
func (x *exchange) explainRate(a *where.Answer) error {
	if x.customer == nil || x.customer.Rate <= 0 {
		return nil
	}
	bucket := x.deps.limiter.Bucket(x.customer.Name)
	if bucket == nil {
		return errkind.New(errkind.ShareUnconfirmed, "")
	}
	room := x.deps.limiter.Room(x.started, bucket, x.deadline)
	a.Rate = &where.Rate{
		PerSecond:     x.customer.Rate,
		Burst:         x.customer.Burst,
		HerePerSecond: room.Share.Rate,
		HereBurst:     room.Share.Burst,
		Tokens:        room.Tokens,
		Waiting:       room.Waiting,
		MayWait:       room.MayWait,
	}
	return room.Decision.Err()
}

// customerNamed finds the customer by its name, where authenticate finds it by its key.
func (x *exchange) customerNamed(name string) error {
	if x.route.Open || len(x.view.table.Customers) == 0 {
		return nil
	}
	if name == "" {
		return errkind.New(errkind.KeyMissing, "")
	}
	x.customer = x.view.table.Customer(name)
	if x.customer == nil {
		return errkind.New(errkind.KeyUnknown, "")
	}
	return nil
}

// explain adds the choices of an upstream to the answer, as choose makes them, and returns the
// last one.
func (x *exchange) explain(a *where.Answer) placement.Explanation {
	versions := x.view.versions[x.service.Name]
	choice := where.Choice{}
	if versions != nil {
		choice.Version, choice.Phase = versions.version, versions.phase.String()
		x.prefersNew, choice.NewShare = versions.peekNew(x.route.Name)
	}
	object := x.objectHash()
	if x.prefersNew {
		object = versions.placementKey(object)
	}
	e := x.explainObject(object, versions.allows(x.prefersNew))
	add := func(isNew bool) {
		choice.New, choice.EjectionsIgnored = isNew, e.EjectionsIgnored
		choice.Candidates = lo.Map(e.Candidates, func(c placement.Candidate, _ int) where.Candidate { return candidateOf(c) })
		a.Choices = append(a.Choices, choice)
	}
	add(x.prefersNew)
	if x.prefersNew && versions.mayFallBack(e.Refusal) {
		e = x.explainObject(x.objectHash(), versions.allows(false))
		add(false)
	}
	return e
}

func (x *exchange) explainObject(object uint64, allows func(version string) bool) placement.Explanation {
	q := x.placementQuery(object, allows)
	q.Admits = func(id string) bool { return x.deps.throttle.WouldAdmit(x.started, id) }
	return x.deps.pool.Explain(x.started, q)
}

func candidateOf(c placement.Candidate) where.Candidate {
	age := int64(-1)
	if c.Reported {
		age = c.ReportAge.Milliseconds()
	}
	return where.Candidate{
		Upstream:      c.Upstream.Name,
		Reason:        c.Reason.String(),
		FailureDomain: c.Upstream.FailureDomain,
		Region:        c.Upstream.Region,
		Version:       c.Upstream.Version,
		Slots:         c.Upstream.Slots,
		InFlight:      c.InFlight,
		Load:          c.Load,
		LoadAgeMillis: age,
		ForMillis:     c.For.Milliseconds(),
	}
}

// peekNew returns what chooseNew would, and the share of the route's requests that go to the new
// version while the phase is canary. It counts nothing.
func (v *versionChoice) peekNew(route string) (chosen bool, share float64) {
	if v.phase == canary.Canary {
		return v.split.Peek(route)
	}
	// Only the canary phase counts requests.
	return v.chooseNew(route), 0
}
