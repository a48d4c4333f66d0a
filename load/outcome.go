package load

import (
	"net/http"

	"github.com/cockroachdb/errors"

	"samphireferry.example/ferry/client"
)

// Outcomes that the sender determines itself; all others are the names of error kinds
// and the kinds of package client.
const (
	// OutcomeOK is a response of an upstream with a status below 500.
	OutcomeOK = "ok"
	// OutcomeUpstreamError is a response of an upstream with a status of 500 or above.
	OutcomeUpstreamError = "upstream_error"
	// OutcomeConnectionFailed is a request that could connect to no instance.
	OutcomeConnectionFailed = client.KindConnectionFailed
	// OutcomeNoAnswer is a request without a response within its timeout, or whose
	// connection failed before the response.
	OutcomeNoAnswer = client.KindNoAnswer
	// OutcomeCut is a truncated response.
	OutcomeCut = client.KindTruncated
	// OutcomeNoKind is a refusal without a readable kind.
	OutcomeNoKind = client.KindNoKind
	// OutcomeNotSent is a request that was not sent because MaxInFlight requests were in
	// flight.
	OutcomeNotSent = "not_sent"
)

// outcomeOf returns the outcome under which a request is counted.
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
