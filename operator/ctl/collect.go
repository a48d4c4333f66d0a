package ctl

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"samphireferry.example/ferry/operator"
	"samphireferry.example/ferry/platform"
)

// platformTimeout bounds the calls on the platform while a status is collected.
const platformTimeout = 2 * time.Second

// maxProbes is the number of instances that are asked at once.
const maxProbes = 64

// roleEntry marks entry instances in the platform's list.
const roleEntry = "entry"

// collector asks all entry instances for their status.
type collector struct {
	entryURL  string
	client    *platform.Client
	publisher *operator.Publisher
	statuses  *operator.StatusClient
}

// newCollector returns a collector that uses the platform, if it is named and
// its URL is right, and the entry instance, if one is named.
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

// target is one instance to ask.
type target struct {
	probe operator.Probe
	url   string
}

// probes asks every instance that the platform or the named instance knows.
func (c *collector) probes(ctx context.Context) ([]operator.Probe, error) {
	targets := map[string]target{}
	listErr := c.addListed(ctx, targets)
	entryErr := c.addKnown(ctx, targets)
	if len(targets) == 0 {
		return nil, errors.CombineErrors(listErr, entryErr)
	}
	var group errgroup.Group
	group.SetLimit(maxProbes)
	results := make(chan operator.Probe, len(targets))
	for _, t := range targets {
		group.Go(func() error {
			results <- c.ask(ctx, t)
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

func (c *collector) ask(ctx context.Context, t target) operator.Probe {
	if t.probe.Status == nil {
		t.probe.Status, t.probe.Err = c.statuses.Fetch(ctx, t.url)
	}
	return t.probe
}

// addListed adds the entry instances of the platform's list.
func (c *collector) addListed(ctx context.Context, targets map[string]target) error {
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

// addKnown adds the named instance and the peers that it knows.
func (c *collector) addKnown(ctx context.Context, targets map[string]target) error {
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
