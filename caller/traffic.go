package caller

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"samphireferry.example/ferry/buffers"
	"samphireferry.example/ferry/config/dynamic"
	"samphireferry.example/ferry/dispatch"
	"samphireferry.example/ferry/errkind"
	"samphireferry.example/ferry/requesthead"
	"samphireferry.example/ferry/routing"
)

// maxRequestDeadline is the longest deadline that a caller can request.
const maxRequestDeadline = 10 * time.Minute

// exchange is one request of a caller and its response.
type exchange struct {
	server  *Server
	w       http.ResponseWriter
	r       *http.Request
	id      string
	head    requesthead.Head
	body    *requestBody
	request *dispatch.Request
	claim   Claim
	// conn is the connection of the caller, and held the memory of the request and its response. Both are
	// nil for a connection without a gate.
	conn net.Conn
	held *buffers.Holder
	// headWritten is set when the response's status has been sent.
	headWritten bool
}

// serveTraffic serves a request whose head was accepted, or refuses it with the error.
func (x *exchange) serveTraffic(err error) {
	x.w.Header().Set(dispatch.HeaderRequestID, x.id)
	start := time.Now()
	// The server still has to send what is left in its buffers.
	defer x.boundWrite()
	if err == nil {
		err = x.serve()
	}
	if err == nil {
		x.server.latency.UpdateDuration(start)
		return
	}
	x.refuse(err)
}

// serve performs all steps of a request. If it returns an error, refuse must be
// called with it, which also completes the claim on the idempotency key, if there
// is one.
func (x *exchange) serve() error {
	table := x.server.services.Tables.Table()
	if table == nil {
		return errkind.New(errkind.NoConfiguration, "")
	}
	err := checkPath(x.r)
	if err != nil {
		return err
	}
	route, ok, err := requesthead.Select(x.head, func(path string) (*routing.Route, bool) {
		return table.Match(x.r.Host, path, x.r.Method)
	})
	if err != nil {
		x.server.countHeadRefusal(err)
		return err
	}
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
		return x.serveAtMostOnce(ctx)
	}
	return x.dispatch(ctx)
}

// deadline returns a context that ends after the route's timeout or the deadline
// that the caller requests, whichever is shorter.
func (x *exchange) deadline(route *routing.Route) (context.Context, context.CancelFunc, error) {
	timeout := route.Timeout
	requested := x.r.Header.Get(dispatch.HeaderDeadline)
	if requested != "" {
		ms, err := strconv.Atoi(requested)
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
	if key != "" && containsKey(x.head.Path, key) {
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
		Path:          x.head.Path,
		RawQuery:      forwardedQuery(x.head.Query, table.KeyParameters, key),
		Host:          x.r.Host,
		Header:        forwardedHeader(x.r.Header, table.KeyHeaders, key),
		ContentLength: x.r.ContentLength,
	}
	x.addForwardedFor()
	if x.r.ContentLength != 0 {
		x.body = newRequestBody(x.r, http.NewResponseController(x.w), route.MaxBody, x.server.settings.BodyTimeout)
		x.body.held, x.body.waiting = x.held, x.setWaiting
		x.request.Body = x.body
		return x.holdBody()
	}
	return nil
}

// checkFreshness refuses keys that may have been withdrawn without this instance
// knowing, if the route requires it.
func (x *exchange) checkFreshness(route *routing.Route) error {
	if route.WhenCutOff != dynamic.CutOffRefuse || route.Open {
		return nil
	}
	if x.server.services.Freshness.StoreAge() > route.CutOffAfter {
		return errkind.New(errkind.KeyUnverified, "")
	}
	return nil
}

// addForwardedFor sets X-Forwarded-For to the address of the caller.
func (x *exchange) addForwardedFor() {
	address := callerAddress(x.r.RemoteAddr)
	if address.IsValid() {
		x.request.Header.Set("X-Forwarded-For", address.String())
	}
}

// callerAddress returns the IP address of a remote address, which may have a
// port. The zone of an IPv6 address is removed. The result is invalid if the
// remote address cannot be parsed.
func callerAddress(remote string) netip.Addr {
	addrPort, err := netip.ParseAddrPort(remote)
	if err != nil {
		address, _ := netip.ParseAddr(strings.Trim(remote, "[]"))
		return address.Unmap().WithZone("")
	}
	return addrPort.Addr().Unmap().WithZone("")
}
