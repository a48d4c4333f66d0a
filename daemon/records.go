package daemon

import (
	"context"
	"strings"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/encoding/gzip"

	"samphireferry.example/ferry/balancing"
	"samphireferry.example/ferry/config/dynamic"
	"samphireferry.example/ferry/distribution"
	"samphireferry.example/ferry/platform"
	"samphireferry.example/ferry/routing"
	"samphireferry.example/ferry/rpc/entrypb"
)

const (
	// listInterval is the time between two reads of the instance list by an
	// instance that watches the store or holds the control lease.
	listInterval = 2 * time.Second
	// idleListInterval is the same for all other instances, which learn of changes
	// from heartbeats.
	idleListInterval = 30 * time.Second
)

// pullTimeout limits the call to a peer for newer records.
const pullTimeout = 2 * time.Second

// syncRecords starts or stops watching the store, depending on whether this
// instance is a watcher of its failure domain, and pulls from peers that have
// newer records.
func (c *control) syncRecords(now time.Time) {
	watches := c.dist.ShouldWatch(c.liveInDomain(), now)
	c.watcher.SetActive(watches)
	c.needsFreshList.Store(watches || c.lease.Held(now))
	pull, ok := c.dist.PlanPull(now)
	if !ok {
		return
	}
	peer := c.ownership.peers.ByName(pull.Peer)
	if peer == nil {
		c.dist.ForgetPeer(pull.Peer)
		return
	}
	address := peer.RPCAddress
	c.background(pullTimeout, func(ctx context.Context) event {
		response, err := c.pull(ctx, address, pull)
		return recordsPulled{pull: pull, response: response, err: err}
	})
}

func (c *control) pull(ctx context.Context, address string, pull distribution.Pull) (*entrypb.GetConfigResponse, error) {
	client, err := c.deps.peers.Client(address)
	if err != nil {
		return nil, err
	}
	return client.GetConfig(ctx, pull.Request(), grpc.UseCompressor(gzip.Name))
}

// liveInDomain returns the names of the usable instances of the local failure
// domain, this one included.
func (c *control) liveInDomain() []string {
	peers := c.ownership.peers
	names := []string{peers.Self.Name}
	for _, p := range peers.InDomain(peers.Self.FailureDomain) {
		if p.Usable() {
			names = append(names, p.Name)
		}
	}
	return names
}

// storeUpdated is the event with an update from the store.
type storeUpdated struct{ update distribution.Update }

func (e storeUpdated) apply(c *control, now time.Time) {
	changes := c.dist.ApplyUpdate(e.update)
	c.applyChanges(now, changes)
	if isUrgent(changes) {
		c.registry.HeartbeatDomainNow(now)
	}
	if e.update.Err == nil && e.update.Revision == c.dist.Revision() {
		c.sharesReadFromStore(now, e.update.AsOf)
	}
}

// isUrgent reports whether the failure domain should learn of the changes before
// the next regular heartbeats. The control lease is not urgent, nor is the share
// table: it changes often in a large fleet, and an older one is safe to use.
func isUrgent(changes distribution.Changes) bool {
	for _, entry := range changes.Entries {
		if entry.Key != platform.KeyShares && entry.Key != platform.KeyControlLease {
			return true
		}
	}
	return false
}

// recordsPulled is the event with the result of a pull from a peer.
type recordsPulled struct {
	pull     distribution.Pull
	response *entrypb.GetConfigResponse
	err      error
}

func (e recordsPulled) apply(c *control, now time.Time) {
	c.applyChanges(now, c.dist.ApplyPull(e.pull, e.response, e.err, now))
}

// applyChanges puts changed records in force.
func (c *control) applyChanges(now time.Time, changes distribution.Changes) {
	if changes.Err != nil {
		c.deps.log.Error("configuration was not adopted", errorField(changes.Err))
	}
	if changes.Config != nil {
		c.adoptConfig(now, changes.Config)
	}
	for _, entry := range changes.Entries {
		c.observeRecord(now, entry)
	}
}

// observeRecord applies one record of the store.
func (c *control) observeRecord(now time.Time, entry platform.Entry) {
	switch {
	case entry.Key == platform.KeyShares:
		c.shareDriver.Observe(entry)
		if !entry.Deleted {
			c.adoptShares(now, entry.Value)
		}
	case strings.HasPrefix(entry.Key, platform.PrefixMoves):
		c.moves.Observe(entry)
		c.dirty = true
	case strings.HasPrefix(entry.Key, platform.PrefixRollouts):
		c.rollouts.Driver().Observe(entry)
		c.dirty = true
	}
}

// adoptConfig compiles a configuration that the distribution has accepted, and puts
// it in force.
func (c *control) adoptConfig(now time.Time, config *dynamic.Config) {
	table, err := routing.Compile(config)
	if err != nil {
		c.deps.log.Error("configuration cannot be compiled", zap.Uint64("version", config.Version), errorField(err))
		return
	}
	c.setTable(now, table)
}

// readList reads the platform's list of instances until the context ends.
func (c *control) readList(ctx context.Context) {
	ticker := time.NewTicker(listInterval)
	defer ticker.Stop()
	var last time.Time
	for ctx.Err() == nil {
		if c.needsFreshList.Load() || time.Since(last) >= idleListInterval {
			last = time.Now()
			c.readListOnce(ctx)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

func (c *control) readListOnce(ctx context.Context) {
	list, err := c.deps.lister.Instances(ctx)
	if err == nil {
		c.loop.post(instanceListRead{list: list})
	}
}

// probeCompleted is the event with the result of the probes of an upstream.
type probeCompleted struct{ result balancing.ProbeResult }

func (e probeCompleted) apply(c *control, _ time.Time) { c.ownership.pools.Observe(e.result) }

// instanceListRead is the event with the platform's list of instances.
type instanceListRead struct{ list []platform.Instance }

func (e instanceListRead) apply(c *control, now time.Time) {
	c.listReadAt = now
	c.listedAddresses = map[string]bool{}
	c.operatorAddresses = map[string]string{}
	leaving := map[string]bool{}
	for _, row := range e.list {
		c.listedAddresses[row.Address] = true
		if row.OperatorAddress != "" {
			c.operatorAddresses[row.Name] = row.OperatorAddress
		}
		if row.Role == "upstream" && row.State == platform.InstanceLeaving {
			leaving[row.Name] = true
		}
	}
	c.registry.SetInstances(e.list, now)
	c.ownership.pools.SetLeaving(leaving)
}

// errorField returns a log field with the complete error chain in one line.
func errorField(err error) zap.Field { return zap.String("error", err.Error()) }
