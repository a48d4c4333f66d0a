package distribution

import (
	"context"
	"time"

	"github.com/samber/lo"

	"samphireferry.example/ferry/config/dynamic"
	"samphireferry.example/ferry/platform"
	"samphireferry.example/ferry/rpc/entrypb"
)

// unknownAge is the store age of an instance that has heard nothing.
const unknownAge = 365 * 24 * time.Hour

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

// StoreAge returns how long ago the newest word of the store left it, or false
// when there has been none.
func (s *Snapshot) StoreAge(now time.Time) (time.Duration, bool) { return s.freshness.Age(now) }

// Respond answers a peer that asks for newer records.
func (s *Snapshot) Respond(request *entrypb.GetConfigRequest, now time.Time) *entrypb.GetConfigResponse {
	entries, full := s.records.Since(platform.Revision(request.GetRevision()))
	return &entrypb.GetConfigResponse{
		StoreAgeMs: s.ageMillis(now),
		Entries:    lo.Map(entries, toMessage),
		Revision:   uint64(s.records.Complete()),
		Full:       full,
	}
}

// ageMillis returns the age of the store's newest word in milliseconds,
// rounded up.
func (s *Snapshot) ageMillis(now time.Time) uint64 {
	age, heard := s.freshness.Age(now)
	if !heard {
		age = unknownAge
	}
	return uint64(age.Milliseconds()) + 1
}

// AddTo fills the fields of a heartbeat that show how new the state is.
func (s *Snapshot) AddTo(state *entrypb.State, now time.Time) {
	state.StoreRevision = uint64(s.records.Complete())
	state.StoreAgeMs = s.ageMillis(now)
	if s.config != nil {
		state.ConfigVersion = s.config.Version
	}
}

// ObservePeer takes in the state of a peer. Asked is when the heartbeat was
// sent that the state answers; it is zero when the peer sent the state of its
// own accord, since it may then have been under way for any time.
func (s *State) ObservePeer(state *entrypb.State, asked, now time.Time) {
	peer := PeerState{
		Name:          state.GetIdentity().GetName(),
		FailureDomain: state.GetIdentity().GetFailureDomain(),
		Revision:      platform.Revision(state.GetStoreRevision()),
	}
	s.puller.Observe(peer, s.records.Complete(), now)
	if !asked.IsZero() {
		s.heardFromPeer(peer.Revision, state.GetStoreAgeMs(), asked)
		s.publish()
	}
}

// ForgetPeer drops a peer that is gone.
func (s *State) ForgetPeer(name string) { s.puller.Forget(name) }

// PlanPull returns the next request to a peer, or false when none is due.
func (s *State) PlanPull(now time.Time) (Pull, bool) {
	return s.puller.Plan(s.records.Complete(), now)
}

// Request returns the message of the pull.
func (p Pull) Request() *entrypb.GetConfigRequest {
	return &entrypb.GetConfigRequest{Revision: uint64(p.After)}
}

// Fetcher asks a peer for its newer records.
type Fetcher interface {
	GetConfig(ctx context.Context, peer string, request *entrypb.GetConfigRequest) (*entrypb.GetConfigResponse, error)
}

// Fetch carries out the pull. It blocks for fetchTimeout at most, so that its
// end can be reported before the next pull is planned.
func (p Pull) Fetch(ctx context.Context, fetcher Fetcher) (*entrypb.GetConfigResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	return fetcher.GetConfig(ctx, p.Peer, p.Request())
}

// fetchTimeout bounds one pull; it is below pullTimeout.
const fetchTimeout = 2 * time.Second

// ApplyPull takes in the answer of a peer, or the error of the call.
func (s *State) ApplyPull(pull Pull, response *entrypb.GetConfigResponse, err error, now time.Time) Changes {
	s.puller.Done(pull, now)
	if err != nil {
		return Changes{}
	}
	revision := platform.Revision(response.GetRevision())
	changes := s.apply(lo.Map(response.GetEntries(), fromMessage), revision, response.GetFull())
	s.heardFromPeer(revision, response.GetStoreAgeMs(), pull.Asked)
	s.publish()
	return changes
}

// heardFromPeer takes over the freshness of a peer if this instance has all
// that the peer had.
func (s *State) heardFromPeer(revision platform.Revision, ageMillis uint64, asked time.Time) {
	age := time.Duration(ageMillis) * time.Millisecond
	if revision == 0 || revision > s.records.Complete() || age >= unknownAge {
		return
	}
	s.freshness.Heard(asked.Add(-age))
}

func toMessage(entry platform.Entry, _ int) *entrypb.StoreEntry {
	return &entrypb.StoreEntry{
		Key:      entry.Key,
		Value:    entry.Value,
		Revision: uint64(entry.Revision),
		Deleted:  entry.Deleted,
	}
}

func fromMessage(message *entrypb.StoreEntry, _ int) platform.Entry {
	return platform.Entry{
		Key:      message.GetKey(),
		Value:    message.GetValue(),
		Revision: platform.Revision(message.GetRevision()),
		Deleted:  message.GetDeleted(),
	}
}
