package upstream

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"samphireferry.example/ferry/dispatch"
)

const (
	// streamStep is the time between two chunks of a streamed response.
	streamStep = 20 * time.Millisecond
	// writeSize is the size of the largest chunk of a response, in bytes.
	writeSize = 32 << 10
	// defaultBytes is the body size of a response when the query parameter bytes is not set.
	defaultBytes = 64
)

// Body returns the body of n bytes with which a stand-in responds to a request for
// the path and query. Different requests get different bodies.
func Body(path, rawQuery string, n int) []byte {
	line := path + "?" + rawQuery + "\n"
	body := make([]byte, 0, n+len(line))
	for len(body) < n {
		body = append(body, line...)
	}
	return body[:n]
}

// respond writes the response to a request that ran.
func (u *Upstream) respond(ctx context.Context, w http.ResponseWriter, r *http.Request, faults activeFaults) {
	if faults.has(FaultDropAfter) {
		panic(http.ErrAbortHandler)
	}
	current := request{r.Header.Get(dispatch.HeaderRequestID), r.URL.EscapedPath(), r.URL.RawQuery}
	source := u.swapPrevious(current, faults.has(FaultCrossed))
	query, _ := url.ParseQuery(source.rawQuery)
	body := Body(source.path, source.rawQuery, intOr(query.Get("bytes"), defaultBytes))
	if faults.has(FaultNoLength) {
		writeWithoutLength(w, body)
		return
	}
	h := w.Header()
	h.Set("Standin-Upstream", u.options.Name)
	h.Set("Standin-Version", u.options.Version)
	if !faults.has(FaultNoEcho) {
		h.Set(dispatch.HeaderRequestID, source.id)
	}
	stream := time.Duration(intOr(query.Get("stream_ms"), 0)) * time.Millisecond
	if stream == 0 {
		h.Set("Content-Length", strconv.Itoa(len(body)))
	}
	status := http.StatusOK
	if f, ok := faults.find(FaultStatus); ok {
		status = f.Status
	}
	w.WriteHeader(status)
	if faults.has(FaultTruncate) {
		_, _ = w.Write(body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	u.writeBody(ctx, w, body, stream)
}

// swapPrevious records the request as the previous one and returns the request to
// respond to: the former previous one when responses are crossed.
func (u *Upstream) swapPrevious(current request, crossed bool) request {
	u.mu.Lock()
	defer u.mu.Unlock()
	previous := u.previous
	u.previous = current
	if crossed {
		return previous
	}
	return current
}

// writeBody writes the body at once, or in chunks over the duration of the stream.
func (u *Upstream) writeBody(ctx context.Context, w http.ResponseWriter, body []byte, stream time.Duration) {
	size := writeSize
	if stream > 0 {
		size = max(1, len(body)*int(streamStep)/int(stream))
	}
	for len(body) > 0 {
		chunk := body[:min(size, len(body))]
		body = body[len(chunk):]
		if _, err := w.Write(chunk); err != nil {
			u.ledger.recordCancelled()
			panic(http.ErrAbortHandler)
		}
		if stream == 0 {
			continue
		}
		_ = http.NewResponseController(w).Flush()
		if !sleep(ctx, streamStep) {
			u.ledger.recordCancelled()
			panic(http.ErrAbortHandler)
		}
	}
}

// writeWithoutLength writes half of a close-delimited response and closes the connection.
func writeWithoutLength(w http.ResponseWriter, body []byte) {
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	_, _ = buffered.WriteString("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n")
	_, _ = buffered.Write(body[:len(body)/2])
	_ = buffered.Flush()
}

func discardBody(r *http.Request) (int64, error) { return io.Copy(io.Discard, r.Body) }

func queryInt(r *http.Request, name string) (int, bool) {
	n, err := strconv.Atoi(r.URL.Query().Get(name))
	return n, err == nil
}

func intOr(text string, otherwise int) int {
	n, err := strconv.Atoi(text)
	if err != nil {
		return otherwise
	}
	return n
}
