package edge

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"
	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/encoding/gzip"
	"google.golang.org/grpc/status"

	"samphireferry.example/ferry/membership"
	"samphireferry.example/ferry/platform"
	"samphireferry.example/ferry/platform/records"
	"samphireferry.example/ferry/propagation"
	"samphireferry.example/ferry/rpc/entrypb"
)

// coverage states which records of the store an instance has.
type coverage struct {
	// revision is the one up to which every record is known.
	revision platform.Revision
	// completeSince is the revision of the newest full read: all changes after it are
	// known.
	completeSince platform.Revision
}

// extend applies a read at the revision.
func (c *coverage) extend(revision platform.Revision, full bool) {
	if full {
		c.completeSince = max(c.completeSince, revision)
	}
	c.revision = max(c.revision, revision)
}

// operatorRecords is an immutable copy of the operator's records, from which peers are
// served while the control goroutine is busy.
type operatorRecords struct {
	coverage
	// newest is the revision of the newest change.
	newest platform.Revision
	// readAt is when an instance read that change from the store, at the earliest.
	readAt  time.Time
	entries []platform.Entry
}

// respond returns the records that the request lacks.
func (o *operatorRecords) respond(request *entrypb.GetConfigRequest, now time.Time) *entrypb.GetConfigResponse {
	after := platform.Revision(request.GetRevision())
	response := &entrypb.GetConfigResponse{
		Revision:      uint64(o.revision),
		Full:          after < o.completeSince,
		OperatorAgeMs: ageMillis(now, o.readAt),
	}
	for _, entry := range o.entries {
		if response.Full && !entry.Deleted || !response.Full && entry.Revision > after {
			response.Entries = append(response.Entries, entryMessage(entry))
		}
	}
	return response
}

func ageMillis(now, since time.Time) uint64 {
	if since.IsZero() {
		return 0
	}
	return uint64(max(now.Sub(since), 0).Milliseconds())
}

// operatorState holds what the control goroutine knows of the operator's records.
type operatorState struct {
	coverage
	newest platform.Revision
	readAt time.Time
	// follower decides from where records that are missing are read.
	follower *propagation.Follower
	// published is the copy for peers; nil before the first read.
	published atomic.Pointer[operatorRecords]
	// behindSince is when this instance first knew of a change that it lacks, in Unix
	// nanoseconds; 0 if it knows of none.
	behindSince atomic.Int64
}

func newOperatorState(bound time.Duration) *operatorState {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &operatorState{follower: propagation.NewFollower(propagation.NewBudget(bound), random)}
}

// publishBehind makes the state of the follower available to behind.
func (o *operatorState) publishBehind(now time.Time) {
	since := int64(0)
	if wait := o.follower.Behind(now); wait > 0 {
		since = now.Add(-wait).UnixNano()
	}
	o.behindSince.Store(since)
}

// behind returns for how long this instance has known of a change that it lacks.
func (o *operatorState) behind(now time.Time) time.Duration {
	since := o.behindSince.Load()
	if since == 0 {
		return 0
	}
	return now.Sub(time.Unix(0, since))
}

// lacks reports whether a record of the operator up to the revision is missing here. It may
// be called by any goroutine.
func (o *operatorState) lacks(revision uint64) bool {
	known := o.published.Load()
	return known == nil && revision > 0 || known != nil && revision > uint64(known.revision)
}

// errPeerUnknown means that a peer that has announced a change is not known any more.
var errPeerUnknown = errors.New("the peer is not known any more")

// isOperatorKey reports whether the operator writes the record.
func isOperatorKey(key string) bool { return strings.HasPrefix(key, records.PrefixOperator) }

// publishOperatorRecords makes the operator's records available to peers. changed states
// whether one has changed since the last call.
func (c *control) publishOperatorRecords(changed bool) {
	o := c.operator
	last := o.published.Load()
	next := &operatorRecords{coverage: o.coverage, newest: o.newest, readAt: o.readAt}
	if last != nil && !changed {
		next.entries = last.entries
	} else {
		next.entries = slices.Collect(c.records.withPrefix(records.PrefixOperator))
	}
	o.published.Store(next)
}

// readOperatorRecords starts the reads of operator records that are due.
func (c *control) readOperatorRecords(now time.Time) {
	for {
		name, due := c.operator.follower.Next(now, c.readsStore)
		if !due {
			return
		}
		if name == propagation.Store {
			c.readOperatorFromStore(now)
			continue
		}
		peer := c.members.Snapshot(now).ByName(name)
		if peer == nil {
			c.operator.follower.Done(now, name, now, errPeerUnknown)
			continue
		}
		c.readOperatorFrom(now, peer)
	}
}

// readOperatorFrom requests the operator's records that this instance lacks from a peer.
func (c *control) readOperatorFrom(now time.Time, peer *membership.Peer) {
	name, address := peer.Name, peer.RPCAddress
	request := &entrypb.GetConfigRequest{Revision: uint64(c.operator.revision), OperatorOnly: true}
	c.background(c.budget().ReadTimeout(), func(ctx context.Context) event {
		read := operatorRead{source: name, startedAt: now}
		client, err := c.deps.peers.Client(address)
		if err != nil {
			read.err = err
			return read
		}
		var response *entrypb.GetConfigResponse
		response, read.err = client.GetConfig(ctx, request, grpc.UseCompressor(gzip.Name))
		if read.err == nil {
			read.records = recordsFrom(name, now, response)
			read.records.prefix = records.PrefixOperator
		}
		return read
	})
}

// readOperatorFromStore reads all records of the operator.
func (c *control) readOperatorFromStore(now time.Time) {
	c.background(c.budget().ReadTimeout(), func(ctx context.Context) event {
		entries, revision, err := c.deps.store.List(ctx, records.PrefixOperator)
		return operatorRead{
			source:    propagation.Store,
			startedAt: now,
			err:       err,
			records: recordsRead{
				entries: entries, revision: revision, full: true,
				prefix: records.PrefixOperator, readAt: time.Now(),
			},
		}
	})
}

// operatorRead is the result of a read of operator records from a peer or from the store.
type operatorRead struct {
	source    string
	startedAt time.Time
	records   recordsRead
	err       error
}

// urgent implements urgentEvent.
func (operatorRead) urgent() bool { return true }

func (e operatorRead) apply(c *control, now time.Time) {
	if e.err == nil {
		e.records.apply(c, now)
	} else {
		c.deps.log.Warn("operator's records were not read", zap.String("peer", e.source), zap.Error(e.err))
	}
	c.operator.follower.Done(now, e.source, e.startedAt, e.err)
	c.readOperatorRecords(now)
}

// budget returns the time that a change may take until it is in force here.
func (c *control) budget() propagation.Budget {
	return propagation.NewBudget(c.deps.bounds.Load().ConfigBound)
}

// announced tells which records a peer has.
type announced struct {
	message *entrypb.Announcement
	// lacking is set when it has a change of the operator's records that is missing here.
	lacking bool
}

// urgent implements urgentEvent.
func (e announced) urgent() bool { return e.lacking }

func (e announced) apply(c *control, now time.Time) {
	peer := c.members.Snapshot(now).ByName(e.message.GetSender())
	if peer == nil {
		return
	}
	c.operator.follower.Announced(now, peer.Name, c.distance(peer), platform.Revision(e.message.GetOperatorRevision()))
	c.pulls.announce(peer.Name, platform.Revision(e.message.GetStoreRevision()))
	c.readOperatorRecords(now)
	c.pullIfBehind(now)
}

func (c *control) distance(peer *membership.Peer) propagation.Distance {
	switch {
	case peer.FailureDomain == c.deps.settings.FailureDomain:
		return propagation.SameDomain
	case peer.Region == c.deps.settings.Region:
		return propagation.SameRegion
	}
	return propagation.OtherRegion
}

// noteState passes on that the sender of a heartbeat has a change of the operator's records
// that is missing here, before the heartbeat itself waits for its turn.
func (c *control) noteState(state *entrypb.State) {
	if c.operator.lacks(state.GetOperatorRevision()) {
		c.post(announcementOf(state))
	}
}

// announcementOf returns what a heartbeat announces.
func announcementOf(state *entrypb.State) announced {
	message := &entrypb.Announcement{
		Sender:           state.GetIdentity().GetName(),
		StoreRevision:    state.GetStoreRevision(),
		OperatorRevision: state.GetOperatorRevision(),
	}
	return announced{message, true}
}

// announce tells peers which records this instance has, after it has read a change from a
// peer, or from the store if that is nil. What comes from outside the failure domain goes to
// the domain, from a leader or for the operator's records; what comes from the store goes to
// the leaders of the other domains, whose watches may not have reported it. A change of the
// operator's records goes to the chains of propagation.Contacts in addition.
func (c *control) announce(now time.Time, from *membership.Peer, operator bool) {
	peers := c.members.Snapshot(now)
	targets := map[string]*membership.Peer{}
	fromOutside := from == nil || from.FailureDomain != peers.Self.FailureDomain
	if c.readsStore || operator && fromOutside {
		for _, peer := range peers.InDomain(peers.Self.FailureDomain) {
			targets[peer.Name] = peer
		}
	}
	if (c.readsStore || operator) && from == nil {
		for domain := range c.deps.settings.Domains {
			if leader := peers.Leader(domain); leader != nil {
				targets[leader.Name] = leader
			}
		}
	}
	delete(targets, peers.Self.Name)
	chains := lo.MapToSlice(targets, func(_ string, peer *membership.Peer) []string { return []string{peer.RPCAddress} })
	if operator {
		ring, position := peers.Ring()
		for _, chain := range propagation.Contacts(peers.Self.Name, ring, position) {
			chains = append(chains, lo.Map(chain, func(name string, _ int) string { return peers.ByName(name).RPCAddress }))
		}
	}
	message := &entrypb.Announcement{
		Sender:           peers.Self.Name,
		StoreRevision:    uint64(c.revision),
		OperatorRevision: uint64(c.operator.newest),
	}
	for _, chain := range chains {
		go c.tell(chain, message)
	}
}

// tell sends the announcement to the first of the RPC addresses, and to the next one when
// there is no response within Budget.Hedge.
func (c *control) tell(addresses []string, message *entrypb.Announcement) {
	budget := c.budget()
	for _, address := range addresses {
		responded := make(chan struct{})
		go func() {
			ctx, cancel := context.WithTimeout(c.ctx, budget.ReadTimeout())
			defer cancel()
			client, err := c.deps.peers.Client(address)
			if err == nil {
				_, err = client.Announce(ctx, message)
			}
			if err != nil {
				c.deps.log.Debug("announcement failed", zap.String("peer", address), zap.Error(err))
				return
			}
			close(responded)
		}()
		select {
		case <-responded:
			return
		case <-time.After(budget.Hedge()):
		case <-c.ctx.Done():
			return
		}
	}
}

// Announce implements entrypb.EntryServer.
func (s *entryServer) Announce(_ context.Context, message *entrypb.Announcement) (*entrypb.AnnouncementReceipt, error) {
	s.control.post(announced{message, s.control.operator.lacks(message.GetOperatorRevision())})
	return &entrypb.AnnouncementReceipt{}, nil
}

// getOperatorRecords responds to a request for the operator's records without the control
// goroutine.
func (s *entryServer) getOperatorRecords(request *entrypb.GetConfigRequest) (*entrypb.GetConfigResponse, error) {
	known := s.control.operator.published.Load()
	if known == nil {
		return nil, status.Error(codes.Unavailable, "the instance has no records yet")
	}
	return known.respond(request, time.Now()), nil
}
