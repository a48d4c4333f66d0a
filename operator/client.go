package operator

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// statusTimeout bounds the wait for the status of one instance.
const statusTimeout = 1 * time.Second

// maxStatusBytes bounds the response of one instance.
const maxStatusBytes = 16 << 20

// StatusClient fetches the status of entry instances.
type StatusClient struct {
	http *http.Client
}

// NewStatusClient returns a client without open connections.
func NewStatusClient() *StatusClient {
	return &StatusClient{http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}}
}

// Close closes the idle connections of the client.
func (c *StatusClient) Close() { c.http.CloseIdleConnections() }

// Fetch returns the status of the instance at the URL, such as
// "http://10.0.0.1:7003". It waits for at most one second.
func (c *StatusClient) Fetch(ctx context.Context, url string) (*InstanceStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url+PathStatus, nil)
	if err != nil {
		return nil, err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxStatusBytes))
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		return nil, errors.Newf("status %d", response.StatusCode)
	}
	var status InstanceStatus
	err = json.Unmarshal(data, &status)
	return &status, err
}
