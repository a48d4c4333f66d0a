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
)

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
	if status == http.StatusNoContent {
		out.Del("Content-Length")
	} else if contentLength >= 0 {
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
	x.countRefusal(kind)
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

func (x *exchange) countRefusal(kind errkind.Kind) {
	service, customer := "", ""
	if x.request != nil {
		service, customer = x.request.Route.Service.Name, x.request.Customer.Name
	}
	x.server.services.Metrics.Refused(kind, service, customer)
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
