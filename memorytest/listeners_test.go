package memorytest

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

// otherCrowds are what clients send to listeners that serve no callers.
func otherCrowds() map[string]crowd {
	every := func(text string) func(int) string { return func(int) string { return text } }
	const start = "POST /metrics HTTP/1.1\r\nHost: a.example\r\nContent-Length: 1000\r\n"
	return map[string]crowd{
		"heads of 16 KB, bodies that do not arrive": {text: every(head(start, 16_300) + headEnd)},
		"heads of 16 KB that are incomplete":        {text: every(head(start, 16_300))},
		"heads of 32 KB that are incomplete":        {text: every(head(start, 32_600))},
		"bodies that do not end":                    {text: every(strings.Replace(start, "1000", "200000", 1) + headEnd + strings.Repeat("b", 16_000))},
		"connections without a byte":                {text: every("")},
		"responses that nobody reads":               {text: every(strings.Repeat("GET /metrics HTTP/1.1\r\nHost: a.example\r\n\r\n", 40)), deaf: true},
	}
}

// rpcCrowds are what clients send to the listener for other instances.
func rpcCrowds() map[string]crowd {
	every := func(text string) func(int) string { return func(int) string { return text } }
	return map[string]crowd{
		"connections without a byte":   {text: every("")},
		"connections without a call":   {text: every(preface())},
		"heads of many fields":         {text: every(preface() + manyFields(20_000))},
		"heads of HTTP/1 of 16 KB":     {text: every(head(postStart, 16_300) + headEnd)},
		"calls whose message is short": {text: every(preface() + manyFields(1))},
	}
}

// preface returns the beginning of a connection of HTTP/2.
func preface() string {
	var text bytes.Buffer
	text.WriteString(http2.ClientPreface)
	_ = http2.NewFramer(&text, nil).WriteSettings()
	return text.String()
}

// manyFields returns a call of a number of fields, whose message does not come.
func manyFields(fields int) string {
	var block, text bytes.Buffer
	encoder := hpack.NewEncoder(&block)
	for name, value := range map[string]string{":method": "POST", ":scheme": "http", ":path": "/ferry.Entry/Heartbeat", ":authority": "a", "content-type": "application/grpc", "te": "trailers"} {
		if strings.HasPrefix(name, ":") {
			_ = encoder.WriteField(hpack.HeaderField{Name: name, Value: value})
		}
	}
	_ = encoder.WriteField(hpack.HeaderField{Name: "content-type", Value: "application/grpc"})
	_ = encoder.WriteField(hpack.HeaderField{Name: "te", Value: "trailers"})
	for n := range fields {
		_ = encoder.WriteField(hpack.HeaderField{Name: fmt.Sprintf("x%x", n), Value: "", Sensitive: true})
	}
	const frameBytes = 16 << 10
	framer := http2.NewFramer(&text, nil)
	rest := block.Bytes()
	first := rest[:min(frameBytes, len(rest))]
	rest = rest[len(first):]
	_ = framer.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: first, EndHeaders: len(rest) == 0})
	for len(rest) > 0 {
		part := rest[:min(frameBytes, len(rest))]
		rest = rest[len(part):]
		_ = framer.WriteContinuation(1, len(rest) == 0, part)
	}
	return text.String()
}

// Guards against a ferry-edge that runs out of memory since clients reach the listener of the directory, of
// the readiness check, of the metrics or of its peers.
func TestOtherListenersOfAnEdgeInstance(t *testing.T) {
	for listener, address := range map[string]func(*instance) string{
		"directory": func(i *instance) string { return i.directory },
		"ready":     func(i *instance) string { return i.ready },
		"metrics":   func(i *instance) string { return i.metrics },
	} {
		for name, c := range otherCrowds() {
			t.Run(listener+", "+name, func(t *testing.T) {
				i := startEdge(t)
				c.address = address(i)
				i.withstands(t, &c)
			})
		}
	}
	for name, c := range rpcCrowds() {
		t.Run("rpc, "+name, func(t *testing.T) {
			i := startEdge(t)
			c.address = i.rpc
			i.withstands(t, &c)
		})
	}
}
