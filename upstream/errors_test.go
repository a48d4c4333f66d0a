package upstream

import (
	"context"
	"io"
	"testing"

	"gotest.tools/v3/assert"

	"samphireferry.example/ferry/errkind"
	"samphireferry.example/ferry/routing"
)

// TestBodyCutAtTheDeadlineIsATimeout guards against a body that is cut at the deadline
// and counted as truncated: the context of the exchange has the deadline of its parent
// and may end an instant before it.
func TestBodyCutAtTheDeadlineIsATimeout(t *testing.T) {
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	expired, cancel := context.WithTimeout(t.Context(), 0)
	defer cancel()
	for _, tc := range []struct {
		name   string
		parent context.Context
		err    error
		want   errkind.Kind
	}{
		{"cut by the upstream", t.Context(), io.ErrUnexpectedEOF, errkind.AnswerTruncated},
		{"deadline of the exchange", t.Context(), context.DeadlineExceeded, errkind.UpstreamTimeout},
		{"deadline of both", expired, context.DeadlineExceeded, errkind.UpstreamTimeout},
		{"canceled", canceled, context.Canceled, errkind.CallerGone},
		{"canceled at the deadline", canceled, context.DeadlineExceeded, errkind.CallerGone},
	} {
		e := &exchange{parent: tc.parent, target: &routing.Upstream{Name: "u1"}}
		err := e.responseBodyError(tc.err)
		assert.Equal(t, errkind.Of(err), tc.want, tc.name)
	}
}
