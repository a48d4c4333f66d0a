package client

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"samphireferry.example/ferry/errkind"
)

// The headers of answers.
const (
	// HeaderOutcome states what is known of the request at the upstream.
	HeaderOutcome = "Ferry-Outcome"
	// HeaderRetry advises whether to send the request again.
	HeaderRetry = "Ferry-Retry"
	// HeaderReplayed marks an answer that was recorded earlier.
	HeaderReplayed = "Ferry-Replayed"

	problemType = "application/problem+json"
	// maxProblemBytes bounds the body of a refusal.
	maxProblemBytes = 64 << 10
)

// problem is the body of a refusal.
type problem struct {
	Kind      string `json:"kind"`
	Title     string `json:"title"`
	Detail    string `json:"detail"`
	RequestID string `json:"request_id"`
}

// readAnswer reads the whole answer. An answer to an at-most-once request must
// state that the request ran.
func (c *Client) readAnswer(response *http.Response, atMostOnce bool) (*Response, *Error) {
	header := response.Header
	if strings.HasPrefix(header.Get("Content-Type"), problemType) && header.Get(HeaderRetry) != "" {
		return nil, readRefusal(response)
	}
	outcome := errkind.Outcome(header.Get(HeaderOutcome))
	body, err := io.ReadAll(io.LimitReader(response.Body, c.options.MaxAnswerBytes+1))
	if err == nil && !hasEnd(response) {
		err = errors.New("the answer has neither a length nor chunks, so that its end is not known")
	}
	if err != nil {
		return nil, unusable(KindCut, outcome, errkind.RetrySameKey, response.StatusCode, err)
	}
	if int64(len(body)) > c.options.MaxAnswerBytes {
		return nil, unusable(KindAnswerTooLarge, outcome, errkind.RetryNever, response.StatusCode, nil)
	}
	if atMostOnce && outcome != errkind.Ran {
		return nil, unusable(KindNoOutcome, errkind.Unknown, errkind.RetrySameKey, response.StatusCode, nil)
	}
	return &Response{
		Status:   response.StatusCode,
		Header:   header,
		Body:     body,
		Outcome:  outcome,
		Replayed: header.Get(HeaderReplayed) == "true",
	}, nil
}

// unusable returns the error of an answer that came but cannot be used. Only
// an explicit statement that the request ran is taken over.
func unusable(kind string, outcome errkind.Outcome, retry errkind.Retry, status int, cause error) *Error {
	if outcome != errkind.Ran {
		outcome = errkind.Unknown
	}
	return &Error{Kind: kind, Status: status, Outcome: outcome, Retry: retry, cause: cause}
}

// hasEnd says whether the end of the body differs from a closed connection.
func hasEnd(response *http.Response) bool {
	closeDelimited := response.ProtoMajor == 1 && response.ContentLength < 0 &&
		len(response.TransferEncoding) == 0 && !response.Uncompressed
	return !closeDelimited || response.Request != nil && response.Request.Method == http.MethodHead
}

// readRefusal reads a refusal. Its headers are enough to act on, so that a
// body that cannot be read only leaves the kind unknown.
func readRefusal(response *http.Response) *Error {
	var p problem
	err := json.NewDecoder(io.LimitReader(response.Body, maxProblemBytes)).Decode(&p)
	if err != nil || p.Kind == "" {
		p.Kind = KindNoKind
	}
	return &Error{
		Kind:       p.Kind,
		Status:     response.StatusCode,
		Title:      p.Title,
		Detail:     p.Detail,
		RequestID:  p.RequestID,
		Outcome:    statedOutcome(response.Header.Get(HeaderOutcome)),
		Retry:      errkind.Retry(response.Header.Get(HeaderRetry)),
		RetryAfter: retryAfter(response.Header.Get("Retry-After")),
	}
}

// statedOutcome reads an outcome; one that is missing or new is unknown.
func statedOutcome(text string) errkind.Outcome {
	switch outcome := errkind.Outcome(text); outcome {
	case errkind.NotRun, errkind.Ran:
		return outcome
	default:
		return errkind.Unknown
	}
}

func retryAfter(text string) time.Duration {
	seconds, err := strconv.Atoi(text)
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}
