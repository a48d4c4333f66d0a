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

// Headers of each response.
const (
	// HeaderOutcome reports whether an upstream has run the request.
	HeaderOutcome = "Ferry-Outcome"
	// HeaderRetry advises the caller whether to retry the request.
	HeaderRetry = "Ferry-Retry"
)

// Problem is the body of a refusal, sent as application/problem+json.
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

// writeProblem responds with the status, title, outcome and retry advice of the
// error's kind. The error's own delay takes precedence in Retry-After.
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
	var withDetail *errkind.Error
	if errors.As(err, &withDetail) {
		problem.Detail = withDetail.Detail
		if withDetail.RetryAfter > 0 {
			retryAfter = withDetail.RetryAfter
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

// retryAfterSeconds returns the delay rounded up to whole seconds, because the
// header has no fractions.
func retryAfterSeconds(delay time.Duration) string {
	return strconv.Itoa(int(math.Ceil(delay.Seconds())))
}
