package caller

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"samphireferry.example/ferry/config/dynamic"
	"samphireferry.example/ferry/dispatch"
	"samphireferry.example/ferry/errkind"
	"samphireferry.example/ferry/requestkeys"
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

// serveOnce claims the idempotency key before it dispatches.
func (x *exchange) serveOnce(ctx context.Context) error {
	key, err := requestkeys.FromHeader(x.r.Header)
	if err != nil {
		return err
	}
	claim, recorded, err := x.server.services.Claims.Claim(ctx, x.request.Customer, key, x.fingerprint())
	if err != nil {
		return err
	}
	if recorded != nil {
		return x.replay(recorded)
	}
	x.claim = claim
	// A caller that goes away must not leave the outcome unknown.
	detached, cancel := withoutCancel(ctx)
	defer cancel()
	return x.dispatch(detached)
}

// withoutCancel keeps the deadline of the context but not its cancellation.
func withoutCancel(ctx context.Context) (context.Context, context.CancelFunc) {
	deadline, _ := ctx.Deadline()
	return context.WithDeadline(context.WithoutCancel(ctx), deadline)
}

// fingerprint identifies the request as far as it is known before its body.
func (x *exchange) fingerprint() []byte {
	q := x.request
	return requestkeys.Fingerprint(q.Route.Name, q.Method, q.Path, q.RawQuery, x.r.Header, q.ContentLength)
}

// dispatch sends the request and streams the answer back.
func (x *exchange) dispatch(ctx context.Context) error {
	answer, err := x.server.services.Dispatcher.Dispatch(ctx, x.request)
	if err != nil {
		return x.dispatchError(err)
	}
	defer answer.Body.Close()
	removeHopHeaders(answer.Header)
	x.writeHead(answer.Status, answer.Header, answer.ContentLength)
	recorder := &bodyRecorder{limit: x.server.settings.MaxRecordedBody}
	err = x.stream(answer, recorder)
	x.settle(answer, recorder, err)
	if err != nil {
		return errkind.Wrap(err, errkind.AnswerTruncated, "")
	}
	return nil
}

// dispatchError prefers the cause on the caller's side, if there is one.
func (x *exchange) dispatchError(err error) error {
	if errkind.Of(err).Row().Outcome == errkind.NotRun {
		return err
	}
	if x.body != nil && x.body.Err() != nil {
		return x.body.Err()
	}
	if x.r.Context().Err() != nil {
		return errkind.Wrap(err, errkind.CallerGone, "")
	}
	return err
}

func (x *exchange) writeHead(status int, header http.Header, contentLength int64) {
	out := x.w.Header()
	for name, values := range header {
		if !hasPrefixFold(name, internalPrefix) {
			out[name] = values
		}
	}
	if contentLength >= 0 {
		out.Set("Content-Length", strconv.FormatInt(contentLength, 10))
	}
	out.Set(HeaderOutcome, string(errkind.Ran))
	x.started = true
	x.w.WriteHeader(status)
}

// streamBuffer is the largest size in bytes of one read from an answer.
const streamBuffer = 32 << 10

// bufferSize returns the size of the buffer for an answer of the length, which
// is negative when it is not known. One byte more shows the end at once.
func bufferSize(contentLength int64) int64 {
	if contentLength < 0 {
		return streamBuffer
	}
	return min(contentLength+1, streamBuffer)
}

// stream copies the answer to the caller. Where its length is not known, each
// part is sent at once. It goes on reading for the recorder when the caller of
// an at-most-once request has gone.
func (x *exchange) stream(answer *dispatch.Answer, recorder *bodyRecorder) error {
	control := http.NewResponseController(x.w)
	buffer := make([]byte, bufferSize(answer.ContentLength))
	var writeErr error
	for {
		n, err := answer.Body.Read(buffer)
		if n > 0 {
			if x.claim != nil {
				recorder.add(buffer[:n])
			}
			writeErr = x.writePart(control, buffer[:n], answer.ContentLength < 0, writeErr)
			if writeErr != nil && x.claim == nil {
				return nil
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func (x *exchange) writePart(control *http.ResponseController, part []byte, flush bool, earlier error) error {
	if earlier != nil {
		return earlier
	}
	_, err := x.w.Write(part)
	if err == nil && flush {
		err = control.Flush()
	}
	return err
}

// settle records the outcome of a claimed request.
func (x *exchange) settle(answer *dispatch.Answer, recorder *bodyRecorder, err error) {
	if x.claim == nil {
		return
	}
	claim := x.claim
	x.claim = nil
	if err != nil {
		claim.Unknown()
		return
	}
	claim.Ran(&Recorded{
		Status:      answer.Status,
		Header:      answer.Header,
		Body:        recorder.body,
		BodyOmitted: recorder.omitted,
	})
}

// replay answers a repeat with the recorded answer.
func (x *exchange) replay(recorded *Recorded) error {
	if recorded.BodyOmitted {
		return errkind.New(errkind.AnswerNotKept, fmt.Sprintf("its status was %d", recorded.Status))
	}
	x.w.Header().Set("Ferry-Replayed", "true")
	x.writeHead(recorded.Status, recorded.Header, int64(len(recorded.Body)))
	_, _ = x.w.Write(recorded.Body)
	return nil
}

// refuse settles the claim, counts the error and answers with it. An answer
// that has begun is cut, so that the caller sees that it is not whole.
func (x *exchange) refuse(err error) {
	kind := errkind.Of(err)
	if x.claim != nil && kind.Row().Outcome == errkind.NotRun {
		x.claim.NotRun()
	} else if x.claim != nil {
		x.claim.Unknown()
	}
	x.server.services.Metrics.Refused(kind)
	if kind == errkind.Internal {
		x.server.services.Log.Error("request failed", zap.String("request_id", x.id), zap.Error(err))
	} else {
		x.server.services.Log.Debug("request refused", zap.String("request_id", x.id), zap.Error(err))
	}
	if x.started {
		panic(http.ErrAbortHandler)
	}
	writeProblem(x.w, x.id, err)
}

// bodyRecorder keeps an answer body up to a limit.
type bodyRecorder struct {
	limit   int
	body    []byte
	omitted bool
}

func (b *bodyRecorder) add(part []byte) {
	if b.omitted || len(b.body)+len(part) > b.limit {
		b.omitted = true
		b.body = nil
		return
	}
	b.body = append(b.body, part...)
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
