package distribution

import (
	"context"
	"time"

	"github.com/samber/lo"

	"samphireferry.example/ferry/config/dynamic"
	"samphireferry.example/ferry/platform"
	"samphireferry.example/ferry/rpc/entrypb"
)

// neverContactedAge is the store age that an instance reports as long as it has
// received no update from the store.
const neverContactedAge = 365 * 24 * time.Hour

// Snapshot is an immutable view of a State. It is safe for concurrent use.
type Snapshot struct {
	config    *dynamic.Config
	records   *Records
	freshness Freshness
}

// Snapshot returns the newest view. It may be called from any goroutine.
func (s *State) Snapshot() *Snapshot { return s.snapshot.Load() }

// Config returns the configuration in force, or nil.
func (s *Snapshot) Config() *dynamic.Config { return s.config }

// StoreAge returns the age of the newest update from the store, or false if
// there has been none.
func (s *Snapshot) StoreAge(now time.Time) (time.Duration, bool) { return s.freshness.Age(now) }

// Respond returns the response to a peer that requests newer records.
func (s *Snapshot) Respond(request *entrypb.GetConfigRequest, now time.Time) *entrypb.GetConfigResponse {
	entries, full := s.records.Since(platform.Revision(request.GetRevision()))
	return &entrypb.GetConfigResponse{
		StoreAgeMs: s.ageMillis(now),
		Entries:    lo.Map(entries, encodeEntry),
		Revision:   uint64(s.records.Complete()),
		Full:       full,
	}
}

// ageMillis returns the age of the newest update from the store in
// milliseconds, rounded up.
func (s *Snapshot) ageMillis(now time.Time) uint64 {
	age, contacted := s.freshness.Age(now)
	if !contacted {
		age = neverContactedAge
	}
	return uint64(age.Milliseconds()) + 1
}

// AddTo sets the fields of a heartbeat that show how recent the state is.
func (s *Snapshot) AddTo(state *entrypb.State, now time.Time) {
	state.StoreRevision = uint64(s.records.Complete())
	state.StoreAgeMs = s.ageMillis(now)
	if s.config != nil {
		state.ConfigVersion = s.config.Version
	}
}

// ObservePeer processes the state of a peer. SentAt is when this instance sent
// the heartbeat to which the state is the response. It is zero if the peer sent
// the state unprompted, as its transit time is then unknown; the freshness that
// the peer reports is ignored in that case.
func (s *State) ObservePeer(state *entrypb.State, sentAt, now time.Time) {
	peer := PeerState{
		Name:          state.GetIdentity().GetName(),
		FailureDomain: state.GetIdentity().GetFailureDomain(),
		Revision:      platform.Revision(state.GetStoreRevision()),
	}
	s.puller.Observe(peer, s.records.Complete(), now)
	if !sentAt.IsZero() {
		s.observePeerFreshness(peer.Revision, state.GetStoreAgeMs(), sentAt)
		s.publish()
	}
}

// ForgetPeer removes a peer that no longer exists.
func (s *State) ForgetPeer(name string) { s.puller.Forget(name) }

// PlanPull returns the next request to a peer, or false when none is due.
func (s *State) PlanPull(now time.Time) (Pull, bool) {
	return s.puller.Plan(s.records.Complete(), now)
}

// Request returns the request message of the pull.
func (p Pull) Request() *entrypb.GetConfigRequest {
	return &entrypb.GetConfigRequest{Revision: uint64(p.After)}
}

// Fetcher requests newer records from a peer.
type Fetcher interface {
	GetConfig(ctx context.Context, peer string, request *entrypb.GetConfigRequest) (*entrypb.GetConfigResponse, error)
}

// Fetch performs the pull. It blocks for at most fetchTimeout, so that its end
// can be reported before the next pull is planned.
func (p Pull) Fetch(ctx context.Context, fetcher Fetcher) (*entrypb.GetConfigResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	return fetcher.GetConfig(ctx, p.Peer, p.Request())
}

// fetchTimeout bounds one pull; it is below pullTimeout.
const fetchTimeout = 2 * time.Second

// ApplyPull applies the response of a peer, or handles the error of the call.
// It returns the changes that the response caused.
func (s *State) ApplyPull(pull Pull, response *entrypb.GetConfigResponse, err error, now time.Time) Changes {
	s.puller.Done(pull, now)
	if err != nil {
		return Changes{}
	}
	revision := platform.Revision(response.GetRevision())
	changes := s.apply(lo.Map(response.GetEntries(), decodeEntry), revision, response.GetFull())
	s.observePeerFreshness(revision, response.GetStoreAgeMs(), pull.PlannedAt)
	s.publish()
	return changes
}

// observePeerFreshness adopts the freshness that a peer reported if this
// instance has every record that the peer had.
func (s *State) observePeerFreshness(revision platform.Revision, ageMillis uint64, sentAt time.Time) {
	age := time.Duration(ageMillis) * time.Millisecond
	if revision == 0 || revision > s.records.Complete() || age >= neverContactedAge {
		return
	}
	s.freshness.Observe(sentAt.Add(-age))
}

func encodeEntry(entry platform.Entry, _ int) *entrypb.StoreEntry {
	return &entrypb.StoreEntry{
		Key:      entry.Key,
		Value:    entry.Value,
		Revision: uint64(entry.Revision),
		Deleted:  entry.Deleted,
	}
}

func decodeEntry(message *entrypb.StoreEntry, _ int) platform.Entry {
	return platform.Entry{
		Key:      message.GetKey(),
		Value:    message.GetValue(),
		Revision: platform.Revision(message.GetRevision()),
		Deleted:  message.GetDeleted(),
	}
}
