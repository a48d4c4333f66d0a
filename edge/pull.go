package edge

import (
	"context"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/encoding/gzip"

	"samphireferry.example/ferry/membership"
	"samphireferry.example/ferry/platform"
	"samphireferry.example/ferry/rpc/entrypb"
)

const (
	// pullTimeout bounds a call to a peer for its records.
	pullTimeout = 2 * time.Second
	// pullDelay is how long a leader waits for its own watch before it pulls newer
	// records from a peer. It covers the pause between two watches and a slow response.
	pullDelay = 500 * time.Millisecond
)

// pullIfBehind requests records from a peer that has newer ones. A leader first waits
// pullDelay for its own watch.
func (c *control) pullIfBehind(now time.Time) {
	best := c.newestPeer(now)
	if best == nil {
		c.behindSince = time.Time{}
		return
	}
	if c.behindSince.IsZero() {
		c.behindSince = now
	}
	if c.pulling || c.readsStore && now.Sub(c.behindSince) < pullDelay {
		return
	}
	c.pulling = true
	address, name, after := best.RPCAddress, best.Name, c.revision
	c.background(pullTimeout, func(ctx context.Context) event {
		client, err := c.deps.peers.Client(address)
		if err != nil {
			return pulled{peer: name, err: err}
		}
		request := &entrypb.GetConfigRequest{Revision: uint64(after)}
		response, err := client.GetConfig(ctx, request, grpc.UseCompressor(gzip.Name))
		return pulled{peer: name, response: response, err: err}
	})
}

// newestPeer returns the live peer with the newest records, or nil if none has newer
// records than this instance.
func (c *control) newestPeer(now time.Time) *membership.Peer {
	var best *membership.Peer
	newest := uint64(c.revision)
	for _, p := range c.members.Snapshot(now).All {
		if p.State != nil && p.Health == membership.Alive && p.State.GetStoreRevision() > newest {
			best, newest = p, p.State.GetStoreRevision()
		}
	}
	return best
}

// pulled is the result of requesting records from a peer.
type pulled struct {
	peer     string
	response *entrypb.GetConfigResponse
	err      error
}

func (e pulled) apply(c *control, now time.Time) {
	c.pulling = false
	if e.err != nil {
		c.deps.log.Warn("records were not pulled", zap.String("peer", e.peer), zap.Error(e.err))
		return
	}
	read := recordsRead{
		revision:  platform.Revision(e.response.GetRevision()),
		full:      e.response.GetFull(),
		confirmed: e.response.GetSettled(),
		fromPeer:  e.peer,
	}
	for _, entry := range e.response.GetEntries() {
		read.entries = append(read.entries, platform.Entry{
			Key:      entry.GetKey(),
			Value:    entry.GetValue(),
			Revision: platform.Revision(entry.GetRevision()),
			Deleted:  entry.GetDeleted(),
		})
	}
	read.apply(c, now)
}

// recordsRequested is a peer's request for the records that are newer than the
// revision.
type recordsRequested struct {
	after platform.Revision
	reply chan *entrypb.GetConfigResponse
}

func (e recordsRequested) apply(c *control, now time.Time) {
	response := &entrypb.GetConfigResponse{
		Revision: uint64(c.revision),
		Full:     e.after < c.completeSince,
		Settled:  c.upstreams.ConfirmsRemovals(now),
	}
	for _, entry := range c.records {
		if response.Full && entry.Deleted || !response.Full && entry.Revision <= e.after {
			continue
		}
		response.Entries = append(response.Entries, &entrypb.StoreEntry{
			Key:      entry.Key,
			Value:    entry.Value,
			Revision: uint64(entry.Revision),
			Deleted:  entry.Deleted,
		})
	}
	e.reply <- response
}
