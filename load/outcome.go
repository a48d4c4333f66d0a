package load

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// The headers of an answer.
const (
	headerOutcome = "Ferry-Outcome"
	headerRetry   = "Ferry-Retry"
)

// Outcomes that the sender finds by itself; all others are the names of error
// kinds.
const (
	// OutcomeOK is an answer of an upstream with a status below 500.
	OutcomeOK = "ok"
	// OutcomeUpstreamError is an answer of an upstream with a status from 500.
	OutcomeUpstreamError = "upstream_error"
	// OutcomeConnectionFailed is a request that found no instance to connect to.
	OutcomeConnectionFailed = "connection_failed"
	// OutcomeNoAnswer is a request that got no answer in its timeout, or whose
	// connection broke before the answer.
	OutcomeNoAnswer = "no_answer"
	// OutcomeCut is an answer that ended before it was whole.
	OutcomeCut = "cut"
	// OutcomeNoKind is a refusal without a readable kind.
	OutcomeNoKind = "no_kind"
	// OutcomeNotSent is a request that was not sent, since too many waited.
	OutcomeNotSent = "not_sent"
)

// The retry advice that a sender follows.
const (
	adviceElsewhere = "elsewhere"
	adviceSameKey   = "same-key"
)

// maxProblemBytes bounds the body of a refusal.
const maxProblemBytes = 64 << 10

// attempt is the result of one attempt.
type attempt struct {
	outcome string
	// sent is set when the request may have reached the instance.
	sent       bool
	advice     string
	retryAfter time.Duration
}

// readAnswer reads the whole answer.
func readAnswer(response *http.Response) attempt {
	defer func() { _ = response.Body.Close() }()
	result := attempt{sent: true, advice: response.Header.Get(headerRetry)}
	if strings.HasPrefix(response.Header.Get("Content-Type"), "application/problem+json") && result.advice != "" {
		result.outcome = readKind(response.Body)
		seconds, err := strconv.Atoi(response.Header.Get("Retry-After"))
		if err == nil {
			result.retryAfter = time.Duration(seconds) * time.Second
		}
		return result
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		result.outcome = OutcomeCut
		result.advice = adviceSameKey
		return result
	}
	result.outcome = OutcomeOK
	if response.StatusCode >= http.StatusInternalServerError {
		result.outcome = OutcomeUpstreamError
	}
	return result
}

func readKind(body io.Reader) string {
	var problem struct {
		Kind string `json:"kind"`
	}
	err := json.NewDecoder(io.LimitReader(body, maxProblemBytes)).Decode(&problem)
	if err != nil || problem.Kind == "" {
		return OutcomeNoKind
	}
	return problem.Kind
}
