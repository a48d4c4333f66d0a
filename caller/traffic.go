package caller

import (
	"context"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"samphireferry.example/ferry/config/dynamic"
	"samphireferry.example/ferry/dispatch"
	"samphireferry.example/ferry/errkind"
	"samphireferry.example/ferry/routing"
)

// maxRequestDeadline bounds the deadline that a caller can ask for.
const maxRequestDeadline = 10 * time.Minute

// exchange is one request of a caller and its answer.
type exchange struct {
	server  *Server
	w       http.ResponseWriter
	r       *http.Request
	id      string
	body    *requestBody
	request *dispatch.Request
	claim   Claim
	// started is set when the answer's status has been sent.
	started bool
}

func (s *Server) serveTraffic(w http.ResponseWriter, r *http.Request) {
	x := &exchange{server: s, w: w, r: r, id: uuid.NewString()}
	w.Header().Set(dispatch.HeaderRequestID, x.id)
	start := time.Now()
	err := x.serve()
	if err == nil {
		s.latency.UpdateDuration(start)
		return
	}
	x.refuse(err)
}

// serve carries the request through all steps. After an error the claim, if
// there is one, is settled by refuse.
func (x *exchange) serve() error {
	table := x.server.services.Tables.Table()
	if table == nil {
		return errkind.New(errkind.NoConfiguration, "")
	}
	err := checkPath(x.r)
	if err != nil {
		return err
	}
	route, ok := table.Match(x.r.Host, x.r.URL.Path, x.r.Method)
	if !ok {
		return errkind.New(errkind.UnknownRoute, "")
	}
	ctx, cancel, err := x.deadline(route)
	if err != nil {
		return err
	}
	defer cancel()
	err = x.prepare(table, route)
	if err != nil {
		return err
	}
	err = x.server.services.Admitter.Admit(ctx, x.request.Customer)
	if err != nil {
		return err
	}
	if route.AtMostOnce {
		return x.serveOnce(ctx)
	}
	return x.dispatch(ctx)
}

// deadline returns a context with the earlier of the route's timeout and the
// deadline that the caller asks for.
func (x *exchange) deadline(route *routing.Route) (context.Context, context.CancelFunc, error) {
	timeout := route.Timeout
	asked := x.r.Header.Get(dispatch.HeaderDeadline)
	if asked != "" {
		ms, err := strconv.Atoi(asked)
		if err != nil || ms <= 0 || ms > int(maxRequestDeadline/time.Millisecond) {
			return nil, nil, errkind.New(errkind.BadRequest, dispatch.HeaderDeadline+" must be a number of milliseconds")
		}
		timeout = min(timeout, time.Duration(ms)*time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(x.r.Context(), timeout)
	return ctx, cancel, nil
}

// prepare identifies the customer and builds the request to dispatch.
func (x *exchange) prepare(table *routing.Table, route *routing.Route) error {
	key, err := presentedKey(x.r, route)
	if err != nil {
		return err
	}
	customer, err := identify(table, route, key)
	if err != nil {
		return err
	}
	err = x.checkFreshness(route)
	if err != nil {
		return err
	}
	if key != "" && containsKey(x.r.URL.EscapedPath(), key) {
		return errkind.New(errkind.BadRequest, "the path contains the key")
	}
	if x.r.ContentLength > route.MaxBody {
		return errkind.New(errkind.BodyTooLarge, "")
	}
	x.request = &dispatch.Request{
		ID:            x.id,
		Route:         route,
		Customer:      customer,
		Method:        x.r.Method,
		Path:          x.r.URL.EscapedPath(),
		RawQuery:      forwardedQuery(x.r.URL.RawQuery, table.KeyParameters, key),
		Host:          x.r.Host,
		Header:        forwardedHeader(x.r.Header, table.KeyHeaders, key),
		ContentLength: x.r.ContentLength,
	}
	x.addForwardedFor()
	if x.r.ContentLength != 0 {
		x.body = newRequestBody(x.r.Body, http.NewResponseController(x.w), route.MaxBody, x.server.settings.BodyTimeout)
		x.request.Body = x.body
	}
	return nil
}

// checkFreshness refuses keys that may have been withdrawn unseen.
func (x *exchange) checkFreshness(route *routing.Route) error {
	if route.WhenCutOff != dynamic.CutOffRefuse || route.Open {
		return nil
	}
	if x.server.services.Freshness.StoreAge() > route.CutOffAfter {
		return errkind.New(errkind.KeyUnverified, "")
	}
	return nil
}

func (x *exchange) addForwardedFor() {
	address := callerAddress(x.r.RemoteAddr)
	if address.IsValid() {
		x.request.Header.Set("X-Forwarded-For", address.String())
	}
}

// callerAddress returns the address in a remote address with port. The zone of
// an IPv6 address is removed.
func callerAddress(remote string) netip.Addr {
	addrPort, err := netip.ParseAddrPort(remote)
	if err != nil {
		address, _ := netip.ParseAddr(strings.Trim(remote, "[]"))
		return address.Unmap().WithZone("")
	}
	return addrPort.Addr().Unmap().WithZone("")
}
