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
	// pullTimeout bounds the call to a peer for its records.
	pullTimeout = 2 * time.Second
	// pullDelay is how long a lead waits for its own watch when a peer has newer
	// records: the pause between two watches and a slow answer.
	pullDelay = 500 * time.Millisecond
)

// pullIfBehind asks a peer for its records when it has newer ones. A lead first
// gives its own watch some time.
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

// newestPeer returns the usable peer with the newest records, if they are newer
// than this instance's own.
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

// pulled are the records of a peer.
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
		revision: platform.Revision(e.response.GetRevision()),
		full:     e.response.GetFull(),
		confirmed:  e.response.GetSettled(),
		fromPeer: e.peer,
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

// recordsRequested is the question of a peer for the records that are newer than the
// revision.
type recordsRequested struct {
	after  platform.Revision
	reply chan *entrypb.GetConfigResponse
}

func (e recordsRequested) apply(c *control, now time.Time) {
	response := &entrypb.GetConfigResponse{
		Revision: uint64(c.revision),
		Full:     e.after < c.completeSince,
		Settled:  c.upstreams.Settled(now),
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
