package load

import (
	"net/http"

	"github.com/cockroachdb/errors"

	"samphireferry.example/ferry/client"
)

// Outcomes that the sender finds by itself; all others are the names of error
// kinds and the kinds of package client.
const (
	// OutcomeOK is an answer of an upstream with a status below 500.
	OutcomeOK = "ok"
	// OutcomeUpstreamError is an answer of an upstream with a status from 500.
	OutcomeUpstreamError = "upstream_error"
	// OutcomeConnectionFailed is a request that found no instance to connect to.
	OutcomeConnectionFailed = client.KindConnectionFailed
	// OutcomeNoAnswer is a request that got no answer in its timeout, or whose
	// connection broke before the answer.
	OutcomeNoAnswer = client.KindNoAnswer
	// OutcomeCut is an answer that ended before it was whole.
	OutcomeCut = client.KindCut
	// OutcomeNoKind is a refusal without a readable kind.
	OutcomeNoKind = client.KindNoKind
	// OutcomeNotSent is a request that was not sent, since too many waited.
	OutcomeNotSent = "not_sent"
)

// outcomeOf returns the name under which a request is counted.
func outcomeOf(response *client.Response, err error) string {
	var failure *client.Error
	switch {
	case errors.As(err, &failure) && failure.Kind == client.KindNotSent:
		return OutcomeConnectionFailed
	case failure != nil:
		return failure.Kind
	case response.Status >= http.StatusInternalServerError:
		return OutcomeUpstreamError
	default:
		return OutcomeOK
	}
}
