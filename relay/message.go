package relay

import (
	"context"
	"net/http"
	"time"
	"unicode/utf8"

	"github.com/samber/lo"

	"samphireferry.example/ferry/dispatch"
	"samphireferry.example/ferry/errkind"
	"samphireferry.example/ferry/rpc/entrypb"
)

type senderKey struct{}

// WithSender marks the context of a request that the named instance has relayed.
func WithSender(ctx context.Context, sender string) context.Context {
	return context.WithValue(ctx, senderKey{}, sender)
}

// Sender returns the name of the instance that relayed the request, or false if
// the request came from a caller. A relayed request must be served here or
// refused.
func Sender(ctx context.Context) (name string, relayed bool) {
	name, relayed = ctx.Value(senderKey{}).(string)
	return name, relayed
}

func encodeHead(ctx context.Context, req *dispatch.Request, version string) *entrypb.RelayHead {
	head := &entrypb.RelayHead{
		RequestId:     req.ID,
		Service:       req.Route.Service.Name,
		Version:       version,
		Route:         req.Route.Name,
		AtMostOnce:    req.AtMostOnce(),
		Method:        encodeText(req.Method),
		Path:          encodeText(req.Path),
		Query:         encodeText(req.RawQuery),
		Host:          encodeText(req.Host),
		Headers:       encodeHeader(req.Header),
		ContentLength: req.ContentLength,
	}
	if req.Customer != nil {
		head.Customer = req.Customer.Name
	}
	if deadline, ok := ctx.Deadline(); ok {
		head.DeadlineMs = uint64(max(time.Until(deadline).Milliseconds(), 1))
	}
	return head
}

func encodeHeader(header http.Header) []*entrypb.Header {
	fields := make([]*entrypb.Header, 0, len(header))
	for name, values := range header {
		for _, value := range values {
			fields = append(fields, &entrypb.Header{Name: encodeText(name), Value: encodeText(value)})
		}
	}
	return fields
}

func decodeHeader(fields []*entrypb.Header) http.Header {
	header := make(http.Header, len(fields))
	for _, field := range fields {
		name := decodeText(field.GetName())
		header[name] = append(header[name], decodeText(field.GetValue()))
	}
	return header
}

// encodeText maps each byte to the code point of the same value (Latin-1),
// because a protobuf string must be valid UTF-8 and HTTP text need not be.
func encodeText(s string) string {
	if isASCII(s) {
		return s
	}
	runes := make([]rune, len(s))
	for i := range len(s) {
		runes[i] = rune(s[i])
	}
	return string(runes)
}

// decodeText reverses encodeText.
func decodeText(s string) string {
	if isASCII(s) {
		return s
	}
	var text []byte
	for _, r := range s {
		text = append(text, byte(r))
	}
	return string(text)
}

func isASCII(s string) bool {
	for i := range len(s) {
		if s[i] >= utf8.RuneSelf {
			return false
		}
	}
	return true
}

func encodeRefusal(err error) *entrypb.RelayRefusal {
	kind := errkind.Of(err)
	refusal := &entrypb.RelayRefusal{
		Kind:   kind.String(),
		NotRun: kind.Row().Outcome == errkind.NotRun,
	}
	if e, ok := lo.ErrorsAs[*errkind.Error](err); ok {
		refusal.Detail = e.Detail
	}
	return refusal
}

// decodeRefusal returns the error for a refusal. Its outcome is NotRun only if
// the refusal has the not_run flag.
func decodeRefusal(refusal *entrypb.RelayRefusal) *errkind.Error {
	kind, known := errkind.ByName(refusal.GetKind())
	switch {
	case !known && refusal.GetNotRun():
		kind = errkind.NoUpstream
	case !known:
		kind = errkind.UpstreamFailed
	case kind.Row().Outcome == errkind.NotRun && !refusal.GetNotRun():
		kind = errkind.UpstreamFailed
	}
	return errkind.New(kind, refusal.GetDetail())
}
