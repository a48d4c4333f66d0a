package relay

import (
	"bytes"
	"context"
	"io"
	"testing"

	"gotest.tools/v3/assert"

	"samphireferry.example/ferry/dispatch"
	"samphireferry.example/ferry/routing"
)

// BenchmarkRelay measures the overhead that a relay over loopback adds to a
// request, both ends included; the handler responds immediately.
func BenchmarkRelay(b *testing.B) {
	table := testTable(b)
	tests := []struct {
		name, route string
		// request and response are the body sizes in bytes.
		request, response int
	}{
		{"read, answer of 1 KB", "read", 0, 1 << 10},
		{"filing of 4 KB, answer of 1 KB", "file", 4 << 10, 1 << 10},
		{"read, answer of 1 MB", "read", 0, 1 << 20},
	}
	for _, test := range tests {
		b.Run(test.name, func(b *testing.B) {
			response := make([]byte, test.response)
			handler := func(_ context.Context, req *dispatch.Request, _ string) (*dispatch.Response, error) {
				if req.Body != nil {
					_, _ = io.Copy(io.Discard, req.Body)
				}
				return &dispatch.Response{Status: 200, Body: io.NopCloser(bytes.NewReader(response)), ContentLength: int64(len(response))}, nil
			}
			client, address, _ := startOwner(b, NewServer(func() *routing.Table { return table }, handler).Serve)
			body := make([]byte, test.request)
			b.SetBytes(int64(test.request + test.response))
			b.ReportAllocs()
			for b.Loop() {
				req := testRequest(table, test.route, nil)
				if test.request > 0 {
					req.Body = bytes.NewReader(body)
				}
				received, err := client.Send(context.Background(), address, req, "v1")
				assert.NilError(b, err)
				_, err = io.Copy(io.Discard, received.Body)
				assert.NilError(b, err)
				received.Body.Close()
			}
		})
	}
}
