package edge

import (
	"maps"
	"strings"
	"time"

	"github.com/samber/lo"
	"go.uber.org/zap"

	"samphireferry.example/ferry/membership"
	"samphireferry.example/ferry/placement"
	"samphireferry.example/ferry/platform"
	"samphireferry.example/ferry/platform/records"
	"samphireferry.example/ferry/registry"
	"samphireferry.example/ferry/routing"
)

// recordsRead holds records received from the store or from a peer.
type recordsRead struct {
	entries  []platform.Entry
	revision platform.Revision
	// full reports whether entries are all records at revision, so that any other
	// record up to revision is deleted.
	full bool
	// confirmed reports whether missing upstreams have been removed rather than lapsed.
	// For records from a peer it is the peer's view, see registry.Registry.Apply.
	confirmed bool
	// prefix is that of all keys that were read; empty for all records.
	prefix string
	// fromPeer names the peer that sent them; empty for the store.
	fromPeer string
	// readAt is when an instance read them from the store, at the earliest.
	readAt time.Time
}

// urgent implements urgentEvent: a read of the operator's records alone goes before all else.
// Reads of all records stay in their order.
func (e recordsRead) urgent() bool { return e.prefix != "" }

func (e recordsRead) apply(c *control, now time.Time) {
	known := c.revision
	if e.prefix != "" {
		known = c.operator.revision
	}
	if c.operator.revision != 0 && e.revision.Era() > c.operator.revision.Era() {
		c.storeRestored(now, e)
	}
	if e.fromPeer == "" && e.revision < known {
		c.deps.log.Warn("store is behind", zap.Stringer("store_revision", e.revision), zap.Stringer("revision", known))
	}
	if e.fromPeer == "" && e.prefix == "" {
		c.markStoreAvailable(now)
		e.confirmed = c.upstreams.ConfirmsRemovals(now)
	}
	if e.full && e.revision < known {
		return
	}
	if e.fromPeer != "" && e.revision > known {
		c.markStoreAvailableElsewhere(now)
	}
	changed := c.merge(now, e)
	if e.prefix == "" {
		c.coverage.extend(e.revision, e.full)
	}
	operator := c.extendOperatorRecords(e, changed)
	c.applyRecords(now, changed, e.confirmed)
	if operator || len(changed) > 0 && c.readsStore {
		c.announce(now, c.members.Snapshot(now).ByName(e.fromPeer), operator)
	}
}

// extendOperatorRecords applies a read to the state of the operator's records. It reports
// whether one of them has changed.
func (c *control) extendOperatorRecords(e recordsRead, changed []string) bool {
	o := c.operator
	o.extend(e.revision, e.full)
	newest := o.newest
	for _, key := range changed {
		if isOperatorKey(key) {
			newest = max(newest, c.records.get(key).Revision)
		}
	}
	operator := newest > o.newest
	if operator {
		o.newest, o.readAt = newest, e.readAt
	}
	o.follower.Covered(o.revision)
	c.publishOperatorRecords(operator)
	return operator
}

// storeRestored handles the first records that were read after the store was restored from
// a copy. For restoreGrace, they may lack what was written since the copy was made.
func (c *control) storeRestored(now time.Time, e recordsRead) {
	c.deps.log.Warn("store restored from a copy",
		zap.Stringer("store_revision", e.revision),
		zap.Stringer("revision", c.revision),
		zap.String("peer", e.fromPeer),
	)
	c.restoredAt = now
	c.upstreams.StoreRestored(now)
}

// restoring reports whether the operator and the upstreams may not have written again yet
// what a restored store lacks.
func (c *control) restoring(now time.Time) bool {
	return !c.restoredAt.IsZero() && now.Sub(c.restoredAt) < restoreGrace
}

// endRestore applies the records of a restored store that were held back, once
// restoreGrace is over.
func (c *control) endRestore(now time.Time) {
	if c.restoredAt.IsZero() || c.restoring(now) {
		return
	}
	c.restoredAt = time.Time{}
	c.readEvacuations(now)
	c.rollouts.readRecords(now)
}

// markStoreAvailable records that the store has responded to this instance.
func (c *control) markStoreAvailable(now time.Time) {
	c.upstreams.StoreAvailable(now)
	if c.storeUnavailable {
		c.storeUnavailable = false
		c.deps.log.Info("store back", zap.Stringer("revision", c.revision))
	}
}

// markStoreAvailableElsewhere handles a change of the store that a peer has reported.
// If the change was made after the store was lost here, only this instance's
// path to the store is down, and no entries lapse.
func (c *control) markStoreAvailableElsewhere(now time.Time) {
	if c.storeUnavailable && now.Sub(c.storeLostAt) > maxChangeAge {
		c.upstreams.StoreAvailableToPeers()
	}
}

// merge stores the newer entries and returns the keys that changed. When all records
// were read, it marks the missing ones as deleted.
func (c *control) merge(now time.Time, e recordsRead) []string {
	var changed []string
	present := make(map[string]bool, len(e.entries))
	for _, entry := range e.entries {
		if entry.Key == records.KeyUsageReports {
			// Only the holder of the duty needs it, and reads it itself.
			continue
		}
		present[entry.Key] = true
		old := c.records.get(entry.Key)
		if old.Revision >= entry.Revision || isOperatorKey(entry.Key) && entry.Revision <= c.operator.revision {
			// A record of the operator that is not known here up to operator.revision was removed.
			continue
		}
		if !e.full && old.Revision == 0 && entry.Revision <= c.completeSince {
			// The read of all records at completeSince lacked it: it has been removed since.
			continue
		}
		if entry.Key == records.KeyConfig && (entry.Revision.Era() > old.Revision.Era() || c.restoring(now)) {
			entry = newerConfig(old, entry)
		}
		c.records.put(entry)
		delete(c.unreadable, entry.Key)
		changed = append(changed, entry.Key)
	}
	if !e.full {
		return changed
	}
	var missing []string
	for entry := range c.records.all() {
		if entry.Key == records.KeyConfig || !strings.HasPrefix(entry.Key, e.prefix) {
			// The operator never removes the configuration; only a copy of the store can lack it.
			continue
		}
		if !present[entry.Key] && !entry.Deleted && entry.Revision <= e.revision {
			missing = append(missing, entry.Key)
		}
	}
	for _, key := range missing {
		c.records.put(platform.Entry{Key: key, Revision: e.revision, Deleted: true})
		delete(c.unreadable, key)
	}
	return append(changed, missing...)
}

// newerConfig returns the record of a restored store, with the configuration known before
// if that has a higher version, so that no instance gets the older one from this instance.
func newerConfig(known, restored platform.Entry) platform.Entry {
	if known.Revision == 0 || known.Deleted {
		return restored
	}
	last, err := records.DecodeConfig(known.Value)
	if err != nil {
		return restored
	}
	next, err := records.DecodeConfig(restored.Value)
	if restored.Deleted || err != nil || next.Version < last.Version {
		restored.Value, restored.Deleted = known.Value, false
	}
	return restored
}

// applyRecords puts changed records in force.
func (c *control) applyRecords(now time.Time, changed []string, confirmed bool) {
	var upstreams, instances []string
	var evacuations, rollouts bool
	for _, key := range changed {
		switch {
		case key == records.KeyConfig:
			c.adoptConfig(now)
		case strings.HasPrefix(key, records.PrefixUpstreams):
			upstreams = append(upstreams, key)
		case strings.HasPrefix(key, records.PrefixInstances):
			instances = append(instances, key)
		case strings.HasPrefix(key, records.PrefixEvacuations):
			evacuations = true
		case strings.HasPrefix(key, records.PrefixRolloutOrders), strings.HasPrefix(key, records.PrefixRolloutStatus):
			rollouts = true
		}
	}
	if len(upstreams) > 0 {
		c.readUpstreams(now, upstreams, confirmed)
	}
	if len(instances) > 0 {
		c.readInstances(now, instances)
	}
	if evacuations {
		c.readEvacuations(now)
	}
	if rollouts {
		c.rollouts.readRecords(now)
	}
}

// forEachRecord calls handle with every entry that has the key prefix and is not
// deleted.
func (c *control) forEachRecord(prefix string, handle func(entry platform.Entry)) {
	for entry := range c.records.withPrefix(prefix) {
		if !entry.Deleted {
			handle(entry)
		}
	}
}

// adoptConfig puts the configuration in force if it is valid and its version is newer.
func (c *control) adoptConfig(now time.Time) {
	entry := c.records.get(records.KeyConfig)
	if entry.Deleted {
		return
	}
	config, err := records.DecodeConfig(entry.Value)
	if err != nil {
		c.deps.log.Error("configuration cannot be read", zap.Stringer("revision", entry.Revision), zap.Error(err))
		return
	}
	if c.table != nil && config.Version <= c.table.Version {
		return
	}
	table, err := routing.Compile(config)
	if err != nil {
		c.deps.log.Error("configuration cannot be compiled", zap.Uint64("version", config.Version), zap.Error(err))
		return
	}
	c.table = table
	c.updateSplits()
	c.configureRates(now, table)
	c.deps.gate.Configure(prioritiesOf(table))
	c.cold.allDirty = true
	c.poolDirty, c.viewDirty = true, true
	lag := now.Sub(c.operator.readAt)
	c.deps.metrics.Histogram("ferry_config_lag_seconds").Update(lag.Seconds())
	c.deps.log.Info("configuration in force",
		zap.Uint64("version", config.Version),
		zap.Stringer("revision", entry.Revision),
		zap.Int("routes", len(table.Routes)),
		zap.Int("routes_with_homes", lo.CountBy(table.Routes, func(r *routing.Route) bool { return r.HomeRegions != nil })),
		zap.Int("customers_with_homes", lo.CountBy(table.Customers, func(c *routing.Customer) bool { return c.HomeRegions != nil })),
		zap.Time("at", now),
		zap.Duration("lag", lag),
		zap.Bool("in_budget", lag <= c.budget().Total()),
	)
}

// updateSplits rebuilds the traffic splits. Splits whose services and weights are
// unchanged keep their running counts.
func (c *control) updateSplits() {
	splits := map[string]*split{}
	for _, route := range c.table.Routes {
		if route.Split == nil {
			continue
		}
		old := c.splits[route.Name]
		if old != nil && old.matches(route.Split) {
			old.update(route.Split)
			splits[route.Name] = old
			continue
		}
		splits[route.Name] = newSplit(route.Split)
	}
	c.splits = splits
}

// reportUnreadable logs and counts an entry that cannot be read, once for each change of it.
func (c *control) reportUnreadable(entry platform.Entry, message string, err error) {
	if c.unreadable[entry.Key] == entry.Revision {
		return
	}
	c.unreadable[entry.Key] = entry.Revision
	c.deps.metrics.Counter("ferry_unreadable_entries_total").Inc()
	c.deps.log.Warn(message, zap.Stringer("revision", entry.Revision), zap.Error(err))
}

// readUpstreams puts the changed records of upstreams in force. One that cannot be read names no
// upstream: it has replaced the entry, which so has not lapsed.
func (c *control) readUpstreams(now time.Time, keys []string, confirmed bool) {
	var changed []registry.Entry
	var missing, unreadable []string
	for _, key := range keys {
		id, ok := records.CutKeyPrefix(key, records.PrefixUpstreams)
		entry := c.records.get(key)
		if !ok {
			continue
		}
		if entry.Deleted {
			missing = append(missing, id)
			continue
		}
		c.deps.metrics.Counter("ferry_records_decoded_total", "kind", "upstream").Inc()
		parsed, err := records.DecodeUpstream(entry)
		if err != nil {
			c.reportUnreadable(entry, "entry of an upstream cannot be read", err)
			unreadable = append(unreadable, id)
			continue
		}
		changed = append(changed, parsed)
	}
	forgotten := c.upstreams.Forget(unreadable...)
	if c.upstreams.Apply(now, changed, missing, confirmed) || forgotten {
		c.poolDirty, c.viewDirty = true, true
		c.deps.log.Info("upstreams changed", zap.Stringer("revision", c.revision), zap.Int("entries", len(keys)))
	}
}

// readInstances puts the changed records of entry instances in force.
func (c *control) readInstances(now time.Time, keys []string) {
	for _, key := range keys {
		entry := c.records.get(key)
		delete(c.instances, key)
		if c.usage != nil {
			c.usage.readInstance(key, entry)
		}
		if entry.Deleted {
			continue
		}
		c.deps.metrics.Counter("ferry_records_decoded_total", "kind", "instance").Inc()
		i, err := records.DecodeInstance(entry)
		if err != nil {
			c.reportUnreadable(entry, "entry of an instance cannot be read", err)
			continue
		}
		c.instances[key] = platform.Instance{
			Name:          i.Name,
			Role:          membership.RoleEntry,
			Address:       i.Address,
			RPCAddress:    i.RPCAddress,
			FailureDomain: i.FailureDomain,
			State:         platform.InstanceLive,
		}
	}
	c.members.SetInstances(lo.Values(c.instances), now)
	c.viewDirty = true
}

func (c *control) readEvacuations(now time.Time) {
	evacuated := map[string]bool{}
	c.forEachRecord(records.PrefixEvacuations, func(entry platform.Entry) {
		if domain, ok := records.CutKeyPrefix(entry.Key, records.PrefixEvacuations); ok {
			evacuated[domain] = true
		}
	})
	if c.restoring(now) {
		maps.DeleteFunc(evacuated, func(domain string, _ bool) bool { return now.Sub(c.evacuationEnded[domain]) < maxCopyAge })
		maps.Copy(evacuated, c.evacuated)
	}
	for domain := range c.evacuated {
		if !evacuated[domain] {
			c.evacuationEnded[domain] = now
			c.cold.allDirty = true
			c.deps.log.Info("failure domain taken back", zap.String("failure_domain", domain), zap.Stringer("revision", c.revision))
		}
	}
	for domain := range evacuated {
		if !c.evacuated[domain] {
			c.deps.log.Info("failure domain evacuated", zap.String("failure_domain", domain), zap.Stringer("revision", c.revision))
		}
	}
	c.evacuated = evacuated
	c.poolDirty = true
}

// updatePool passes the settings and the changed upstreams to the placement pool. The limits of
// cold upstreams go first, so that none gets requests without its limit.
func (c *control) updatePool(now time.Time) {
	changed, gone := c.upstreams.TakeChanges()
	c.poolPeers = c.countPoolPeers(now)
	c.deps.pool.Configure(c.poolSettings())
	c.updateCold(now, changed)
	c.deps.pool.Update(changed, gone)
	for _, id := range gone {
		delete(c.cold.until, id)
	}
	c.goneUpstreams.add(now, gone)
	c.deps.upstreams.Drop(gone...)
}

// poolPeers is the number of instances that the settings of the pool depend on: all, and those of
// the region that are usable.
type poolPeers struct{ all, senders int }

func (c *control) countPoolPeers(now time.Time) poolPeers {
	peers := c.members.Snapshot(now)
	return poolPeers{
		all:     1 + len(peers.All),
		senders: 1 + lo.CountBy(peers.All, func(p *membership.Peer) bool { return p.Usable() && p.Region == peers.Self.Region }),
	}
}

// poolSettings returns the settings of the placement pool.
func (c *control) poolSettings() placement.Settings {
	settings := placement.Settings{
		Regions:        c.deps.settings.Domains,
		Evacuated:      c.evacuated,
		Connections:    map[string]int{},
		MaxConnections: map[string]int{},
		Senders:        c.poolPeers.senders,
		Stable:         c.deps.settings.StableAssignment,
		IgnorePace:     !c.deps.settings.ChooseByCompletion,
	}
	if c.table != nil {
		for _, service := range c.table.Services {
			settings.MaxConnections[service.Name] = service.Connections
			settings.Connections[service.Name] = max(service.Connections/c.poolPeers.all, 1)
		}
	}
	return settings
}

// refreshLimits updates the limits of cold upstreams and the rates of those that limit them.
func (c *control) refreshLimits(now time.Time) {
	rates := c.upstreamRates()
	c.deps.pool.SetRates(rates)
	c.refreshCold(now)
	c.poolDirty = c.poolDirty || c.countPoolPeers(now) != c.poolPeers
	c.deps.upstreams.Drop(c.goneUpstreams.expired(now, c.upstreams.Has)...)
}

// goneUpstreams holds the upstreams that have left. A request that chose one of them before may
// open a connection to it afterwards.
type goneUpstreams struct {
	ids []string
	at  []time.Time
}

// goneUpstreamAge is the age at which no request uses an upstream that has left.
const goneUpstreamAge = time.Minute

func (g *goneUpstreams) add(now time.Time, ids []string) {
	for _, id := range ids {
		g.ids, g.at = append(g.ids, id), append(g.at, now)
	}
}

// expired removes the ids that are older than goneUpstreamAge, and returns those of them for
// which known returns false.
func (g *goneUpstreams) expired(now time.Time, known func(id string) bool) []string {
	n := 0
	for n < len(g.at) && now.Sub(g.at[n]) > goneUpstreamAge {
		n++
	}
	old := g.ids[:n]
	g.ids, g.at = g.ids[n:], g.at[n:]
	return lo.Reject(old, func(id string, _ int) bool { return known(id) })
}
