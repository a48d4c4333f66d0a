package ctl

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"samphireferry.example/ferry/operator"
	"samphireferry.example/ferry/platform"
)

// platformTimeout limits each call to the platform while a status is collected.
const platformTimeout = 2 * time.Second

// maxConcurrentProbes is the maximum number of concurrent status requests.
const maxConcurrentProbes = 64

// roleEntry is the role of entry instances in the platform's instance list.
const roleEntry = "entry"

// collector collects the status of all entry instances.
type collector struct {
	entryURL  string
	client    *platform.Client
	publisher *operator.Publisher
	statuses  *operator.StatusClient
}

// newCollector returns a collector that uses the platform, if -platform is a valid
// URL, and the entry instance, if -entry is set.
func (a *app) newCollector() *collector {
	c := &collector{entryURL: a.entryURL, statuses: operator.NewStatusClient()}
	if client, err := a.client(); err == nil {
		c.client = client
		c.publisher = operator.NewPublisher(client, nil)
	}
	return c
}

func (c *collector) close() {
	c.statuses.Close()
	if c.client != nil {
		c.client.Close()
	}
}

// target is one instance whose status is needed, with its URL if it is to be fetched.
type target struct {
	probe operator.Probe
	url   string
}

// probes returns the status of every instance that the platform or the instance of
// -entry knows.
func (c *collector) probes(ctx context.Context) ([]operator.Probe, error) {
	targets := map[string]target{}
	listErr := c.addFromPlatform(ctx, targets)
	entryErr := c.addFromEntry(ctx, targets)
	if len(targets) == 0 {
		return nil, errors.CombineErrors(listErr, entryErr)
	}
	var group errgroup.Group
	group.SetLimit(maxConcurrentProbes)
	results := make(chan operator.Probe, len(targets))
	for _, t := range targets {
		group.Go(func() error {
			results <- c.probe(ctx, t)
			return nil
		})
	}
	_ = group.Wait()
	close(results)
	var probes []operator.Probe
	for probe := range results {
		probes = append(probes, probe)
	}
	return probes, nil
}

func (c *collector) probe(ctx context.Context, t target) operator.Probe {
	if t.probe.Status == nil {
		t.probe.Status, t.probe.Err = c.statuses.Fetch(ctx, t.url)
	}
	return t.probe
}

// addFromPlatform adds the entry instances of the platform's instance list.
func (c *collector) addFromPlatform(ctx context.Context, targets map[string]target) error {
	if c.client == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	rows, err := c.client.Instances(ctx)
	if err != nil {
		return err
	}
	for _, row := range rows {
		if row.Role != roleEntry {
			continue
		}
		address := row.OperatorAddress
		if address == "" {
			address = row.Address
		}
		targets[row.Name] = target{
			probe: operator.Probe{Name: row.Name, FailureDomain: row.FailureDomain, Leaving: row.State == platform.InstanceLeaving},
			url:   "http://" + address,
		}
	}
	return nil
}

// addFromEntry adds the instance of -entry and the peers that it knows.
func (c *collector) addFromEntry(ctx context.Context, targets map[string]target) error {
	if c.entryURL == "" {
		return nil
	}
	status, err := c.statuses.Fetch(ctx, c.entryURL)
	if err != nil {
		return errors.CombineErrors(platform.ErrUnavailable, err)
	}
	targets[status.Name] = target{probe: operator.Probe{Name: status.Name, FailureDomain: status.FailureDomain, Status: status}}
	for _, peer := range status.Peers {
		if _, known := targets[peer.Name]; known || peer.OperatorAddress == "" {
			continue
		}
		targets[peer.Name] = target{
			probe: operator.Probe{Name: peer.Name, FailureDomain: peer.FailureDomain, Leaving: peer.Leaving},
			url:   "http://" + peer.OperatorAddress,
		}
	}
	return nil
}

func newestVersion(probes []operator.Probe) uint64 {
	version := uint64(0)
	for _, probe := range probes {
		if probe.Status != nil {
			version = max(version, probe.Status.ConfigVersion)
		}
	}
	return version
}
