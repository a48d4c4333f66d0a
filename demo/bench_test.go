package demo

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gotest.tools/v3/assert"

	"samphireferry.example/ferry/config/dynamic"
)

// benchClients is the number of clients that send requests without pause.
const benchClients = 32

// bareHandler forwards each request to one upstream and does nothing else. It is the
// baseline for the cost of an entry instance.
type bareHandler struct {
	upstream  string
	transport *http.Transport
}

func (h *bareHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	out := r.Clone(r.Context())
	out.RequestURI = ""
	out.URL.Scheme = "http"
	out.URL.Host = h.upstream
	response, err := h.transport.RoundTrip(out)
	if err != nil {
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	defer response.Body.Close()
	for name, values := range response.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(response.StatusCode)
	_, _ = io.Copy(w, response.Body)
}

// BenchmarkEntryAgainstBareHandler sends reads to an entry instance and to the bare
// handler in turn, with the same upstream.
func BenchmarkEntryAgainstBareHandler(b *testing.B) {
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Ferry-Request-Id", r.Header.Get("Ferry-Request-Id"))
		_, _ = io.WriteString(w, strings.Repeat("x", 256))
	}))
	defer upstream.Close()
	address := strings.TrimPrefix(upstream.URL, "http://")
	system, err := Start(Options{Regions: 1, DomainsPerRegion: 1, Entries: 1, Change: func(set *dynamic.Set) {
		set.Customers[0].Rate, set.Customers[0].Burst = 1e7, 10_000_000
		set.Upstreams = []dynamic.Upstream{{Name: "only", Service: serviceLookup, Version: firstVersion,
			FailureDomain: set.FailureDomains[0].Name, Address: address, Slots: 256, Connections: 256}}
	}})
	assert.NilError(b, err)
	defer system.Stop()
	assert.NilError(b, system.WaitReady(b.Context()))
	time.Sleep(12 * time.Second) // The upstream is cold and is ramped up.
	bare := httptest.NewServer(&bareHandler{upstream: address, transport: &http.Transport{MaxIdleConnsPerHost: 256}})
	defer bare.Close()

	targets := []struct{ name, url string }{
		{"bare", bare.URL},
		{"entry", "http://" + system.Entries[0].CallerAddress()},
	}
	rates := map[string]float64{}
	for round := range 3 {
		for _, target := range targets {
			b.Run(fmt.Sprintf("%s/%d", target.name, round), func(b *testing.B) {
				rates[target.name] += benchmarkReads(b, target.url)
			})
		}
	}
	b.Run("ratio", func(b *testing.B) {
		b.ReportMetric(rates["entry"]/rates["bare"], "entry/bare")
	})
}

// benchmarkReads sends b.N reads and returns the number of requests per second.
func benchmarkReads(b *testing.B, url string) float64 {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: benchClients}}
	defer client.CloseIdleConnections()
	var left, failed atomic.Int64
	left.Store(int64(b.N))
	var mu sync.Mutex
	histogram := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	b.ResetTimer()
	start := time.Now()
	var running sync.WaitGroup
	for range benchClients {
		running.Go(func() {
			for left.Add(-1) >= 0 {
				sent := time.Now()
				if !sendRead(client, url) {
					failed.Add(1)
				}
				elapsed := time.Since(sent)
				mu.Lock()
				_ = histogram.RecordValue(elapsed.Microseconds())
				mu.Unlock()
			}
		})
	}
	running.Wait()
	elapsed := time.Since(start)
	b.ReportMetric(float64(histogram.ValueAtQuantile(50)), "p50-µs")
	b.ReportMetric(float64(histogram.ValueAtQuantile(99)), "p99-µs")
	b.ReportMetric(float64(failed.Load()), "failed")
	rate := float64(b.N) / elapsed.Seconds()
	b.ReportMetric(rate, "req/s")
	return rate
}

// sendRead sends a read and reports whether it was served completely.
func sendRead(client *http.Client, url string) bool {
	r, _ := http.NewRequest(http.MethodGet, url+"/dossiers/1", nil)
	r.Header.Set("Authorization", "Bearer "+KeyHighRate)
	response, err := client.Do(r)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return err == nil && response.StatusCode == http.StatusOK
}
