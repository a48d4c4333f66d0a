package daemon

import (
	"context"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"samphireferry.example/ferry/config/dynamic"
	"samphireferry.example/ferry/platform"
	"samphireferry.example/ferry/routing"
)

// Timing of the store and list readers.
const (
	// watchWait is how long one watch waits for a change.
	watchWait = 20 * time.Second
	// storePause is the pause after a failed call.
	storePause = 500 * time.Millisecond
	// listInterval is the time between two reads of the instance list.
	listInterval = 2 * time.Second
)

// storePrefix precedes all keys of the system.
const storePrefix = "ferry/"

// watchStore reads all records and then watches them until the context ends.
func (c *control) watchStore(ctx context.Context) {
	var after platform.Revision
	for ctx.Err() == nil {
		asked := time.Now()
		entries, revision, err := c.readStore(ctx, after)
		if err != nil {
			after = 0
			pause(ctx, storePause)
			continue
		}
		after = revision
		c.loop.post(storeRead{entries: entries, asked: asked, heard: time.Now()})
	}
}

func (c *control) readStore(ctx context.Context, after platform.Revision) ([]platform.Entry, platform.Revision, error) {
	if after == 0 {
		return c.parts.store.List(ctx, storePrefix)
	}
	return c.parts.store.Watch(ctx, storePrefix, after, watchWait)
}

// readList reads the platform's list of instances until the context ends.
func (c *control) readList(ctx context.Context) {
	for ctx.Err() == nil {
		list, err := c.parts.lister.Instances(ctx)
		if err == nil {
			c.loop.post(listRead{list: list})
		}
		pause(ctx, listInterval)
	}
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// storeRead is an answer of the store.
type storeRead struct {
	entries []platform.Entry
	asked   time.Time
	heard   time.Time
}

func (e storeRead) apply(c *control, now time.Time) {
	c.storeHeard = e.heard
	c.dirty = true
	for _, entry := range e.entries {
		c.observe(now, entry)
	}
}

// observe takes in one record of the store.
func (c *control) observe(now time.Time, entry platform.Entry) {
	switch {
	case entry.Key == platform.KeyConfig && !entry.Deleted:
		c.adoptConfig(now, entry.Value)
	case entry.Key == platform.KeyShares:
		c.shareDriver.Observe(entry)
		if !entry.Deleted {
			c.adoptShares(now, entry.Value)
		}
	case hasPrefix(entry.Key, platform.PrefixMoves):
		c.moves.Observe(entry)
	case hasPrefix(entry.Key, platform.PrefixRollouts):
		c.rollouts.Driver().Observe(entry)
	}
}

// adoptConfig puts a configuration in force if it is newer than the one that is.
func (c *control) adoptConfig(now time.Time, data []byte) {
	config, err := dynamic.Decode(data)
	if err != nil {
		c.parts.log.Error("configuration cannot be read", errorField(err))
		return
	}
	if config.Version <= c.configVersion() {
		return
	}
	table, err := routing.Compile(config)
	if err != nil {
		c.parts.log.Error("configuration cannot be compiled", zap.Uint64("version", config.Version), errorField(err))
		return
	}
	c.configData = data
	c.setTable(now, table)
}

// listRead is the platform's list of instances.
type listRead struct{ list []platform.Instance }

func (e listRead) apply(c *control, now time.Time) {
	c.listRead = now
	c.listed = map[string]bool{}
	leaving := map[string]bool{}
	for _, row := range e.list {
		c.listed[row.Address] = true
		if row.Role == "upstream" && row.State == platform.InstanceLeaving {
			leaving[row.Name] = true
		}
	}
	c.registry.SetInstances(e.list, now)
	c.pools.setLeaving(leaving)
}

func hasPrefix(key, prefix string) bool { return strings.HasPrefix(key, prefix) }

func errorField(err error) zap.Field { return zap.String("error", errors.UnwrapAll(err).Error()) }
