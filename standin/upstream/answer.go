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
	// streamStep is the time between two parts of a streaming answer.
	streamStep = 20 * time.Millisecond
	// writeSize is the largest part of an answer written at once, in bytes.
	writeSize = 32 << 10
	// defaultBytes is the size of an answer without the query parameter bytes.
	defaultBytes = 64
)

// Body returns the n bytes with which a stand-in answers a request for the
// path and query. Different requests get different bytes.
func Body(path, rawQuery string, n int) []byte {
	line := path + "?" + rawQuery + "\n"
	body := make([]byte, 0, n+len(line))
	for len(body) < n {
		body = append(body, line...)
	}
	return body[:n]
}

// answer writes the answer to a request that ran.
func (u *Upstream) answer(ctx context.Context, w http.ResponseWriter, r *http.Request, faults activeFaults) {
	if faults.has(FaultDropAfter) {
		panic(http.ErrAbortHandler)
	}
	own := request{r.Header.Get(dispatch.HeaderRequestID), r.URL.EscapedPath(), r.URL.RawQuery}
	from := u.exchangePrevious(own, faults.has(FaultCrossed))
	query, _ := url.ParseQuery(from.rawQuery)
	body := Body(from.path, from.rawQuery, intOr(query.Get("bytes"), defaultBytes))
	if faults.has(FaultNoLength) {
		writeWithoutLength(w, body)
		return
	}
	h := w.Header()
	h.Set("Standin-Upstream", u.options.Name)
	h.Set("Standin-Version", u.options.Version)
	if !faults.has(FaultNoEcho) {
		h.Set(dispatch.HeaderRequestID, from.id)
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

// exchangePrevious remembers the request and returns the one to answer.
func (u *Upstream) exchangePrevious(own request, crossed bool) request {
	u.mu.Lock()
	defer u.mu.Unlock()
	previous := u.previous
	u.previous = own
	if crossed {
		return previous
	}
	return own
}

// writeBody writes the body at once, or in parts over the time of the stream.
func (u *Upstream) writeBody(ctx context.Context, w http.ResponseWriter, body []byte, stream time.Duration) {
	size := writeSize
	if stream > 0 {
		size = max(1, len(body)*int(streamStep)/int(stream))
	}
	for len(body) > 0 {
		part := body[:min(size, len(body))]
		body = body[len(part):]
		if _, err := w.Write(part); err != nil {
			u.ledger.cancel()
			panic(http.ErrAbortHandler)
		}
		if stream == 0 {
			continue
		}
		_ = http.NewResponseController(w).Flush()
		if !sleep(ctx, streamStep) {
			u.ledger.cancel()
			panic(http.ErrAbortHandler)
		}
	}
}

// writeWithoutLength writes half of an answer that ends with its connection.
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
