package load

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/singleflight"
)

const (
	pathEntryInstances = "/v1/entry-instances"
	// listTimeout bounds one question for the list.
	listTimeout = 2 * time.Second
	// maxListBytes bounds the answer.
	maxListBytes = 1 << 20
)

// instanceList is the answer of GET /v1/entry-instances.
type instanceList struct {
	TTLSeconds int    `json:"ttl_seconds"`
	Home       string `json:"home"`
	Instances  []struct {
		Address string `json:"address"`
	} `json:"entry_instances"`
}

// directory keeps the list of entry instances of one customer.
type directory struct {
	client      *http.Client
	seeds       []string
	allowRemote bool
	flight      singleflight.Group

	mu      sync.Mutex
	bases   []string
	home    string
	expires time.Time
}

// current returns the base URLs to try, in order, and the home for keys. It
// asks for a new list when the last one has expired, and keeps the last one
// when no instance answers.
func (d *directory) current(ctx context.Context) (bases []string, home string) {
	d.mu.Lock()
	fresh := time.Now().Before(d.expires)
	bases, home = d.bases, d.home
	d.mu.Unlock()
	if fresh {
		return bases, home
	}
	_, _, _ = d.flight.Do("", func() (any, error) {
		d.refresh(ctx)
		return nil, nil
	})
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.bases) == 0 {
		return d.seeds, ""
	}
	return d.bases, d.home
}

// refresh asks the instances of the last list, then the seeds.
func (d *directory) refresh(ctx context.Context) {
	d.mu.Lock()
	ask := append(append([]string{}, d.bases...), d.seeds...)
	d.mu.Unlock()
	for _, base := range ask {
		list, err := d.fetch(ctx, base)
		if err == nil {
			d.store(base, list)
			return
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expires = time.Now().Add(time.Second)
}

func (d *directory) fetch(ctx context.Context, base string) (*instanceList, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, base+pathEntryInstances, nil)
	if err != nil {
		return nil, err
	}
	response, err := d.client.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, errors.Newf("list of entry instances: status %d", response.StatusCode)
	}
	var list instanceList
	if err := json.NewDecoder(io.LimitReader(response.Body, maxListBytes)).Decode(&list); err != nil {
		return nil, err
	}
	return &list, nil
}

func (d *directory) store(base string, list *instanceList) {
	scheme, _, _ := strings.Cut(base, "://")
	var bases []string
	for _, instance := range list.Instances {
		if d.allowRemote || isLoopback(instance.Address) {
			bases = append(bases, scheme+"://"+instance.Address)
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.home = list.Home
	d.expires = time.Now().Add(time.Duration(max(list.TTLSeconds, 1)) * time.Second)
	if len(bases) > 0 {
		d.bases = bases
	}
}
