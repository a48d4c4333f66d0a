package caller

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"go.uber.org/zap"

	"samphireferry.example/ferry/dispatch"
	"samphireferry.example/ferry/errkind"
	"samphireferry.example/ferry/headgate"
)

// dispatch sends the request to an upstream and streams the response back.
func (x *exchange) dispatch(ctx context.Context) error {
	response, err := x.server.services.Dispatcher.Dispatch(ctx, x.request)
	if err != nil {
		return x.dispatchError(err)
	}
	defer response.Body.Close()
	x.interrupt(nil)
	size := bufferSize(response.ContentLength)
	// As many bytes were read ahead.
	if !x.hold(2 * size) {
		return x.dispatchError(errkind.New(errkind.AnswerTruncated, "too little memory is left for the response"))
	}
	removeHopHeaders(response.Header)
	x.writeHead(response.Status, response.Header, response.ContentLength)
	recorder := &bodyRecorder{limit: x.server.settings.MaxRecordedBodyBytes}
	err = x.stream(response, recorder)
	x.recordOutcome(response, recorder, err)
	if err != nil {
		return errkind.Wrap(err, errkind.AnswerTruncated, "")
	}
	return nil
}

// dispatchError returns the error to report for a failed dispatch. If the request
// may have run, a cause on the caller's side takes precedence.
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

// writeHead sends the status and the headers, without internal ones, and the
// outcome. The content length is in bytes and negative if unknown.
func (x *exchange) writeHead(status int, header http.Header, contentLength int64) {
	out := x.w.Header()
	for name, values := range header {
		if !hasPrefixFold(name, internalPrefix) {
			out[name] = values
		}
	}
	if status == http.StatusNoContent {
		out.Del("Content-Length")
	} else if contentLength >= 0 {
		out.Set("Content-Length", strconv.FormatInt(contentLength, 10))
	}
	out.Set(HeaderOutcome, string(errkind.Ran))
	x.headWritten = true
	x.w.WriteHeader(status)
}

// streamBuffer is the maximum size in bytes of one read from a response body.
const streamBuffer = 32 << 10

// bufferSize returns the size in bytes of the buffer for a response body of the
// length, which is negative if unknown. One byte more than the length lets the
// first read see the end of the body.
func bufferSize(contentLength int64) int64 {
	if contentLength < 0 {
		return streamBuffer
	}
	return min(contentLength+1, streamBuffer)
}

// stream copies the response body to the caller. If its length is unknown, each
// chunk is flushed immediately. If the caller of an at-most-once request has
// disconnected, it continues to read for the recorder. It returns only errors of
// reading from the upstream.
func (x *exchange) stream(response *dispatch.Response, recorder *bodyRecorder) error {
	controller := http.NewResponseController(x.w)
	buffer := make([]byte, bufferSize(response.ContentLength))
	x.boundWrite()
	var writeErr error
	for {
		n, err := response.Body.Read(buffer)
		if n > 0 {
			if x.claim != nil {
				recorder.add(buffer[:n])
			}
			writeErr = x.writeChunk(controller, buffer[:n], response.ContentLength < 0, writeErr)
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

// writeChunk sends a chunk to the caller unless an earlier write failed. It
// returns the first write error.
func (x *exchange) writeChunk(controller *http.ResponseController, chunk []byte, flush bool, previousErr error) error {
	if previousErr != nil {
		return previousErr
	}
	err := x.write(chunk)
	if err == nil && flush {
		err = controller.Flush()
	}
	return err
}

// recordOutcome reports the outcome of a claimed request to its claim: unknown
// if the response could not be read completely, and ran otherwise.
func (x *exchange) recordOutcome(response *dispatch.Response, recorder *bodyRecorder, err error) {
	if x.claim == nil {
		return
	}
	claim := x.claim
	x.claim = nil
	if err != nil {
		claim.Unknown()
		return
	}
	claim.Ran(&RecordedResponse{
		Status:      response.Status,
		Header:      response.Header,
		Body:        recorder.body,
		BodyOmitted: recorder.omitted,
	})
}

// replay responds to a repeat with the recorded response.
func (x *exchange) replay(recorded *RecordedResponse) error {
	if recorded.BodyOmitted {
		return errkind.New(errkind.AnswerNotKept, fmt.Sprintf("its status was %d", recorded.Status))
	}
	x.w.Header().Set("Ferry-Replayed", "true")
	x.writeHead(recorded.Status, recorded.Header, int64(len(recorded.Body)))
	_ = x.write(recorded.Body)
	return nil
}

// refuse completes the claim, counts the error and responds with it. If the
// response has already started, it aborts the connection, so that the caller
// detects that the response is truncated.
func (x *exchange) refuse(err error) {
	kind := errkind.Of(err)
	if x.claim != nil && kind.Row().Outcome == errkind.NotRun {
		x.claim.NotRun()
	} else if x.claim != nil {
		x.claim.Unknown()
	}
	x.countRefusal(kind)
	if kind == errkind.Internal {
		x.server.services.Log.Error("request failed", zap.String("request_id", x.id), zap.Error(err))
	} else {
		x.server.services.Log.Debug("request refused", zap.String("request_id", x.id), zap.Error(err))
	}
	if x.headWritten {
		panic(http.ErrAbortHandler)
	}
	headgate.BoundUnreadBody(x.w, x.r)
	writeProblem(x.w, x.id, err)
}

func (x *exchange) countRefusal(kind errkind.Kind) {
	service, customer := "", ""
	if x.request != nil {
		service, customer = x.request.Route.Service.Name, x.request.Customer.Name
	}
	x.server.services.Metrics.CountRefusal(kind, service, customer)
}

// bodyRecorder records a response body of at most limit bytes, and omits a
// longer one.
type bodyRecorder struct {
	limit   int
	body    []byte
	omitted bool
}

func (b *bodyRecorder) add(chunk []byte) {
	if b.omitted || len(b.body)+len(chunk) > b.limit {
		b.omitted = true
		b.body = nil
		return
	}
	b.body = append(b.body, chunk...)
}
