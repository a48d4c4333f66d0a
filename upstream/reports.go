package upstream

import (
	"context"
	"encoding/json"
	"io"
	"math"
	"net/http"

	"github.com/cockroachdb/errors"
)

// maxReportBytes bounds the response to a probe that is read.
const maxReportBytes = 64 << 10

// HealthReport is the JSON response of a health endpoint. Any response with
// status 200 means healthy; a body that is not such JSON counts as an empty
// report.
type HealthReport struct {
	// Draining means that the upstream does not want new requests.
	Draining bool `json:"draining,omitempty"`
	// Cold means that the caches of the upstream are empty.
	Cold bool `json:"cold,omitempty"`
}

// LoadReport is the JSON response of a load endpoint.
type LoadReport struct {
	// Load is the fraction of the slots in use. It is negative when unknown.
	Load float64 `json:"load"`
}

// valid reports whether the load is a finite number of at least 0.
func (r LoadReport) valid() bool { return r.Load >= 0 && !math.IsInf(r.Load, 1) }

// fetchReport reads a report from an endpoint. Its error means that no complete
// response with status 200 was received.
func fetchReport[T any](ctx context.Context, client *http.Client, address, path string) (T, error) {
	var report T
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return report, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return report, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return report, errors.Newf("status %d", resp.StatusCode)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReportBytes))
	if err != nil {
		return report, err
	}
	if json.Unmarshal(data, &report) != nil {
		var empty T
		return empty, nil
	}
	return report, nil
}
