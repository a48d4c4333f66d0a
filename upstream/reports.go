package upstream

import (
	"context"
	"encoding/json"
	"io"
	"math"
	"net/http"

	"github.com/cockroachdb/errors"
)

// maxReportBytes bounds the answer to a probe.
const maxReportBytes = 64 << 10

// HealthReport is the JSON answer of a health endpoint. Any answer with status
// 200 means healthy; a body that is not such JSON counts as an empty report.
type HealthReport struct {
	// Draining says that the upstream wants no new work.
	Draining bool `json:"draining,omitempty"`
	// Cold says that its caches are empty.
	Cold bool `json:"cold,omitempty"`
}

// LoadReport is the JSON answer of a load endpoint.
type LoadReport struct {
	// Load is the used part of the slots. It is negative when not known.
	Load float64 `json:"load"`
}

// valid says whether a report can be used.
func (r LoadReport) valid() bool { return r.Load >= 0 && !math.IsInf(r.Load, 1) }

// fetch reads a report. Its error says that there was no answer with status 200.
func fetch[T any](ctx context.Context, client *http.Client, address, path string) (T, error) {
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
