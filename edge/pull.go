package edge

import (
	"context"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
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
	// pullHedgeDelay is how long a pull may take until another peer is asked as well.
	pullHedgeDelay = 500 * time.Millisecond
	// maxPulls bounds the concurrent pulls.
	maxPulls = 3
	// pullFailurePause is how long a peer is avoided after a pull from it failed.
	pullFailurePause = 3 * time.Second
	// pullDelay is how long a leader waits for its own watch before it pulls newer
	// records from a peer. It covers the pause between two watches and a slow response.
	pullDelay = 500 * time.Millisecond
)

// pulls holds the state of the requests for records of peers.
type pulls struct {
	// running holds the peers that were asked and have not responded, by name.
	running map[string]bool
	// startedAt is when the last one was asked.
	startedAt time.Time
	// failedAt is when the last pull from a peer failed, by name.
	failedAt map[string]time.Time
	// announced holds the revisions that peers have announced since their last heartbeat, by
	// name.
	announced map[string]platform.Revision
	// newest is the newest revision that a peer has reported or announced.
	newest platform.Revision
}

func newPulls() *pulls {
	return &pulls{running: map[string]bool{}, failedAt: map[string]time.Time{}, announced: map[string]platform.Revision{}}
}

// announce records the revision that a peer has announced.
func (p *pulls) announce(peer string, revision platform.Revision) {
	p.announced[peer] = max(p.announced[peer], revision)
	p.note(revision)
}

// note records that a peer has records of the revision.
func (p *pulls) note(revision platform.Revision) { p.newest = max(p.newest, revision) }

// forgetAnnounced drops the announcements up to the revision, which is known here.
func (p *pulls) forgetAnnounced(revision platform.Revision) {
	maps.DeleteFunc(p.announced, func(_ string, announced platform.Revision) bool { return announced <= revision })
}

// mayStart reports whether another pull may start.
func (p *pulls) mayStart(now time.Time) bool {
	return len(p.running) == 0 || len(p.running) < maxPulls && now.Sub(p.startedAt) >= pullHedgeDelay
}

// source returns the peer to pull from, or nil when there is none: one with records
// newer than the revision, the leader of the own failure domain first, then any of the
// nearest. They are chosen at random, so that the first peer to have new records does not
// serve all others.
func (p *pulls) source(now time.Time, peers *membership.Peers, revision platform.Revision) *membership.Peer {
	var nearest []*membership.Peer
	best := math.MaxInt
	for _, peer := range peers.All {
		if !p.hasNewer(peer, revision) || p.running[peer.Name] {
			continue
		}
		preference := pullPreference(peers, peer)
		if now.Sub(p.failedAt[peer.Name]) < pullFailurePause {
			preference += pullFailurePenalty
		}
		if preference < best {
			best, nearest = preference, nil
		}
		if preference == best {
			nearest = append(nearest, peer)
		}
	}
	if len(nearest) == 0 {
		return nil
	}
	return nearest[rand.IntN(len(nearest))]
}

// recordFailure records a failed pull, and drops the records that no longer count.
func (p *pulls) recordFailure(now time.Time, peer string) {
	maps.DeleteFunc(p.failedAt, func(_ string, at time.Time) bool { return now.Sub(at) >= pullFailurePause })
	p.failedAt[peer] = now
}

// pullFailurePenalty ranks peers that failed recently after all others.
const pullFailurePenalty = 10

// pullPreference ranks the peers to pull from; the lowest is the best.
func pullPreference(peers *membership.Peers, peer *membership.Peer) int {
	switch {
	case peers.Leader(peers.Self.FailureDomain) == peer:
		return 0
	case peer.FailureDomain == peers.Self.FailureDomain:
		return 1
	case peer.Region == peers.Self.Region:
		return 2
	}
	return 3
}

// hasNewer reports whether the live peer has records newer than the revision.
func (p *pulls) hasNewer(peer *membership.Peer, revision platform.Revision) bool {
	if peer.Health != membership.Alive {
		return false
	}
	return p.announced[peer.Name] > revision || peer.State != nil && peer.State.GetStoreRevision() > uint64(revision)
}

// pullIfBehind requests records from a peer that has newer ones. A leader first waits
// pullDelay for its own watch.
func (c *control) pullIfBehind(now time.Time) {
	c.pulls.forgetAnnounced(c.revision)
	if c.pulls.newest <= c.revision {
		c.behindSince = time.Time{}
		return
	}
	peers := c.members.Snapshot(now)
	if !slices.ContainsFunc(peers.All, func(p *membership.Peer) bool { return c.pulls.hasNewer(p, c.revision) }) {
		c.behindSince = time.Time{}
		return
	}
	if c.behindSince.IsZero() {
		c.behindSince = now
	}
	if !c.pulls.mayStart(now) || c.readsStore && now.Sub(c.behindSince) < pullDelay {
		return
	}
	source := c.pulls.source(now, peers, c.revision)
	if source == nil {
		return
	}
	c.pulls.running[source.Name] = true
	c.pulls.startedAt = now
	address, name := source.RPCAddress, source.Name
	request := &entrypb.GetConfigRequest{Revision: uint64(c.revision), OperatorRevision: uint64(c.operator.revision)}
	c.background(pullTimeout, func(ctx context.Context) event {
		client, err := c.deps.peers.Client(address)
		if err != nil {
			return pulled{peer: name, err: err}
		}
		response, err := client.GetConfig(ctx, request, grpc.UseCompressor(gzip.Name))
		return pulled{peer: name, response: response, err: err, startedAt: now}
	})
}

// pulled is the result of requesting records from a peer.
type pulled struct {
	peer     string
	response *entrypb.GetConfigResponse
	err      error
	// startedAt is when the records were requested.
	startedAt time.Time
}

func (e pulled) apply(c *control, now time.Time) {
	delete(c.pulls.running, e.peer)
	if e.err != nil {
		c.pulls.recordFailure(now, e.peer)
		c.deps.log.Warn("records were not pulled", zap.String("peer", e.peer), zap.Error(e.err))
		return
	}
	before := c.revision
	recordsFrom(e.peer, e.startedAt, e.response).apply(c, now)
	if c.revision == before {
		c.pulls.recordFailure(now, e.peer)
	}
	c.pullIfBehind(now)
}

// recordsFrom returns the records in a response of a peer to a request that was sent at
// startedAt.
func recordsFrom(peer string, startedAt time.Time, response *entrypb.GetConfigResponse) recordsRead {
	read := recordsRead{
		revision:  platform.Revision(response.GetRevision()),
		full:      response.GetFull(),
		confirmed: response.GetSettled(),
		fromPeer:  peer,
		readAt:    startedAt.Add(-time.Duration(response.GetOperatorAgeMs()) * time.Millisecond),
	}
	for _, entry := range response.GetEntries() {
		read.entries = append(read.entries, platform.Entry{
			Key:      entry.GetKey(),
			Value:    entry.GetValue(),
			Revision: platform.Revision(entry.GetRevision()),
			Deleted:  entry.GetDeleted(),
		})
	}
	return read
}

// entryMessage returns the message for a record.
func entryMessage(entry platform.Entry) *entrypb.StoreEntry {
	return &entrypb.StoreEntry{Key: entry.Key, Value: entry.Value, Revision: uint64(entry.Revision), Deleted: entry.Deleted}
}

// recordsRequested is a peer's request for the records that are newer than the
// revision.
type recordsRequested struct {
	after platform.Revision
	// operatorAfter is the revision up to which the peer has the operator's records.
	operatorAfter platform.Revision
	reply         chan *entrypb.GetConfigResponse
	// callerGone is closed when the peer waits for no reply any more.
	callerGone <-chan struct{}
}

func (e recordsRequested) apply(c *control, now time.Time) {
	if isClosed(e.callerGone) {
		return
	}
	if c.operator.revision.Era() > c.revision.Era() {
		// The operator's records are of a later era than the rest: they do not go together.
		e.reply <- &entrypb.GetConfigResponse{}
		return
	}
	response := &entrypb.GetConfigResponse{
		Revision:      uint64(c.revision),
		Full:          e.after < c.completeSince,
		Settled:       c.upstreams.ConfirmsRemovals(now),
		OperatorAgeMs: ageMillis(now, c.operator.readAt),
	}
	entries := c.records.after(e.after)
	if response.Full {
		entries = c.records.all()
	}
	for entry := range entries {
		known := isOperatorKey(entry.Key) && entry.Revision <= e.operatorAfter
		if response.Full && entry.Deleted || !response.Full && known {
			continue
		}
		response.Entries = append(response.Entries, entryMessage(entry))
	}
	e.reply <- response
}
