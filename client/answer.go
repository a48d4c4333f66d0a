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

// The headers of responses.
const (
	// HeaderOutcome states whether the request ran at the upstream.
	HeaderOutcome = "Ferry-Outcome"
	// HeaderRetry advises whether to send the request again.
	HeaderRetry = "Ferry-Retry"
	// HeaderReplayed marks a response that was recorded at an earlier attempt.
	HeaderReplayed = "Ferry-Replayed"

	problemType = "application/problem+json"
	// maxProblemBytes limits the body of a refusal.
	maxProblemBytes = 64 << 10
)

// problem is the body of a refusal.
type problem struct {
	Kind      string `json:"kind"`
	Title     string `json:"title"`
	Detail    string `json:"detail"`
	RequestID string `json:"request_id"`
}

// readResponse reads the complete response. A response to an at-most-once request
// must state that the request ran.
func (c *Client) readResponse(response *http.Response, atMostOnce bool) (*Response, *Error) {
	header := response.Header
	if response.StatusCode < http.StatusOK {
		// Its sender is broken, so what its headers state about the request is not used.
		return nil, unusableResponse(KindNoAnswer, errkind.Unknown, errkind.RetrySameKey, response.StatusCode, errors.New("the response has no final status"))
	}
	if strings.HasPrefix(header.Get("Content-Type"), problemType) && header.Get(HeaderRetry) != "" {
		return nil, readRefusal(response)
	}
	outcome := errkind.Outcome(header.Get(HeaderOutcome))
	body, err := io.ReadAll(io.LimitReader(response.Body, c.options.MaxResponseBytes+1))
	if err == nil && !isDelimited(response) {
		err = errors.New("the response has neither a length nor chunks, so that its end is not known")
	}
	if err != nil {
		return nil, unusableResponse(KindTruncated, outcome, errkind.RetrySameKey, response.StatusCode, err)
	}
	if int64(len(body)) > c.options.MaxResponseBytes {
		return nil, unusableResponse(KindAnswerTooLarge, outcome, errkind.RetryNever, response.StatusCode, nil)
	}
	if atMostOnce && outcome != errkind.Ran {
		return nil, unusableResponse(KindNoOutcome, errkind.Unknown, errkind.RetrySameKey, response.StatusCode, nil)
	}
	return &Response{
		Status:   response.StatusCode,
		Header:   header,
		Body:     body,
		Outcome:  outcome,
		Replayed: header.Get(HeaderReplayed) == "true",
	}, nil
}

// unusableResponse returns the error of a response that was received but cannot be
// used. Its outcome is Ran if the response states so, and Unknown otherwise.
func unusableResponse(kind string, outcome errkind.Outcome, retry errkind.Retry, status int, cause error) *Error {
	if outcome != errkind.Ran {
		outcome = errkind.Unknown
	}
	return &Error{Kind: kind, Status: status, Outcome: outcome, Retry: retry, cause: cause}
}

// isDelimited reports whether the end of the body can be distinguished from a
// connection that closes early.
func isDelimited(response *http.Response) bool {
	closeDelimited := response.ProtoMajor == 1 && response.ContentLength < 0 &&
		len(response.TransferEncoding) == 0 && !response.Uncompressed
	return !closeDelimited || response.Request != nil && response.Request.Method == http.MethodHead
}

// readRefusal reads a refusal. The client acts on its headers; a body that cannot
// be read only makes the kind KindNoKind.
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
		Outcome:    parseOutcome(response.Header.Get(HeaderOutcome)),
		Retry:      errkind.Retry(response.Header.Get(HeaderRetry)),
		RetryAfter: parseRetryAfter(response.Header.Get("Retry-After")),
	}
}

// parseOutcome parses an outcome; a missing or unrecognised one is Unknown.
func parseOutcome(text string) errkind.Outcome {
	switch outcome := errkind.Outcome(text); outcome {
	case errkind.NotRun, errkind.Ran:
		return outcome
	default:
		return errkind.Unknown
	}
}

func parseRetryAfter(text string) time.Duration {
	seconds, err := strconv.Atoi(text)
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}
