package caller

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"samphireferry.example/ferry/errkind"
)

// The headers of each answer.
const (
	// HeaderOutcome states what is known of the request at the upstream.
	HeaderOutcome = "Ferry-Outcome"
	// HeaderRetry advises the caller whether to send the request again.
	HeaderRetry = "Ferry-Retry"
)

// Problem is the body of a refusal, as application/problem+json.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// Kind is the stable name of the error kind.
	Kind      string `json:"kind"`
	Outcome   string `json:"outcome"`
	Retry     string `json:"retry"`
	RequestID string `json:"request_id,omitempty"`
}

// writeProblem answers with the table row of the error's kind.
func writeProblem(w http.ResponseWriter, requestID string, err error) {
	kind := errkind.Of(err)
	row := kind.Row()
	problem := Problem{
		Type:      "urn:ferry:" + row.Name,
		Title:     row.Title,
		Status:    row.Status,
		Kind:      row.Name,
		Outcome:   string(row.Outcome),
		Retry:     string(row.Retry),
		RequestID: requestID,
	}
	retryAfter := row.RetryAfter
	var typed *errkind.Error
	if errors.As(err, &typed) {
		problem.Detail = typed.Detail
		if typed.RetryAfter > 0 {
			retryAfter = typed.RetryAfter
		}
	}
	header := w.Header()
	header.Set("Content-Type", "application/problem+json")
	header.Set("Cache-Control", "no-store")
	header.Set(HeaderOutcome, problem.Outcome)
	header.Set(HeaderRetry, problem.Retry)
	if retryAfter > 0 {
		header.Set("Retry-After", retryAfterSeconds(retryAfter))
	}
	body, marshalErr := json.Marshal(problem)
	if marshalErr != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.WriteHeader(row.Status)
	_, _ = w.Write(body)
}

// retryAfterSeconds rounds up, since the header has whole seconds only.
func retryAfterSeconds(delay time.Duration) string {
	return strconv.Itoa(int(math.Ceil(delay.Seconds())))
}
