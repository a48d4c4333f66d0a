package client

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/singleflight"
)

const (
	// PathEntryInstances is where entry instances serve the list.
	PathEntryInstances = "/v1/entry-instances"
	// listTimeout limits one request for the list.
	listTimeout = 2 * time.Second
	// maxRefreshWait limits the time for which a request waits for a newer list while
	// an older one is known.
	maxRefreshWait = 200 * time.Millisecond
	// listRetryInterval is the time until the list is requested again after no
	// instance has returned one.
	listRetryInterval = 1 * time.Second
	// minListTTL and maxListTTL limit the time for which a list is used, whatever
	// TTL it states.
	minListTTL = 1 * time.Second
	maxListTTL = 5 * time.Minute
	// maxListBytes limits the response body of the list.
	maxListBytes = 1 << 20
)

// instanceList is the response to GET /v1/entry-instances.
type instanceList struct {
	TTLSeconds int    `json:"ttl_seconds"`
	Home       string `json:"home"`
	Instances  []struct {
		Address string `json:"address"`
	} `json:"entry_instances"`
}

// directory keeps the list of entry instances.
type directory struct {
	client       *http.Client
	seeds        []string
	accept       func(address string) bool
	avoidFor     time.Duration
	refreshGroup singleflight.Group

	mu      sync.Mutex
	bases   []string
	home    string
	expires time.Time
	// avoid holds the base URLs that failed, with the time until which they
	// are tried last.
	avoid map[string]time.Time
}

// current returns the base URLs in the order in which to try them, and the home
// for idempotency keys, which is empty before the first list. It requests a new
// list if the last one has expired.
func (d *directory) current(ctx context.Context) (bases []string, home string) {
	d.mu.Lock()
	fresh := time.Now().Before(d.expires)
	hasList := len(d.bases) > 0
	d.mu.Unlock()
	if !fresh {
		d.awaitRefresh(ctx, hasList)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.bases) == 0 {
		return d.ordered(d.seeds), d.home
	}
	return d.ordered(d.bases), d.home
}

// awaitRefresh waits for a new list, which one goroutine fetches on behalf of all
// waiting requests. If there is an older list, it waits maxRefreshWait at most.
func (d *directory) awaitRefresh(ctx context.Context, hasList bool) {
	if hasList {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, maxRefreshWait)
		defer cancel()
	}
	shared := context.WithoutCancel(ctx)
	done := d.refreshGroup.DoChan("", func() (any, error) {
		d.refresh(shared)
		return nil, nil
	})
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// refresh fetches the list from the instances of the last list, then from the seeds.
func (d *directory) refresh(ctx context.Context) {
	d.mu.Lock()
	fresh := time.Now().Before(d.expires)
	candidates := d.ordered(slices.Concat(d.bases, d.seeds))
	d.mu.Unlock()
	if fresh {
		return
	}
	for _, base := range candidates {
		list, err := d.fetch(ctx, base)
		if err == nil {
			d.store(base, list)
			return
		}
		d.failed(base)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expires = time.Now().Add(listRetryInterval)
}

func (d *directory) fetch(ctx context.Context, base string) (*instanceList, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, base+PathEntryInstances, nil)
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
		if d.accept(instance.Address) {
			bases = append(bases, scheme+"://"+instance.Address)
		}
	}
	ttl := time.Duration(list.TTLSeconds) * time.Second
	d.mu.Lock()
	defer d.mu.Unlock()
	d.home = list.Home
	d.expires = time.Now().Add(min(max(ttl, minListTTL), maxListTTL))
	if len(bases) > 0 {
		d.bases = bases
	}
}

// expireHome expires the list if it still has the given home, so that the list is
// fetched again.
func (d *directory) expireHome(home string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.home == home {
		d.expires = time.Time{}
	}
}

// failed records that the instance did not respond.
func (d *directory) failed(base string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.avoidFor > 0 {
		d.avoid[base] = time.Now().Add(d.avoidFor)
	}
}

// ordered returns the base URLs, those that failed recently last. The caller must
// hold mu.
func (d *directory) ordered(bases []string) []string {
	now := time.Now()
	for base, until := range d.avoid {
		if !now.Before(until) {
			delete(d.avoid, base)
		}
	}
	var preferred, avoided []string
	for _, base := range bases {
		if _, ok := d.avoid[base]; ok {
			avoided = append(avoided, base)
			continue
		}
		preferred = append(preferred, base)
	}
	return append(preferred, avoided...)
}
