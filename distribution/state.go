package distribution

import (
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"samphireferry.example/ferry/config/dynamic"
	"samphireferry.example/ferry/invariant"
	"samphireferry.example/ferry/platform"
)

// startupGrace is how long a new instance waits for the store, and for the
// records of peers that are ahead, before it serves with the configuration that
// it has.
const startupGrace = 2 * time.Second

// Options configure a State.
type Options struct {
	// Self is the name of the instance, FailureDomain that of its failure domain.
	Self          string
	FailureDomain string
	// Validate returns an error for a configuration that must not be adopted; nil
	// accepts all.
	Validate func(*dynamic.Config) error
	// Checker records violated invariants; it may be nil.
	Checker *invariant.Checker
	// Started is when the instance started.
	Started time.Time
}

// Changes lists what an update changed.
type Changes struct {
	// Config is the configuration that was adopted, or nil.
	Config *dynamic.Config
	// Entries are the records that changed, deletions included.
	Entries []platform.Entry
	// Err is the reason why a configuration in the update was not adopted.
	Err error
}

// State is the replicated state of one instance: the configuration, the records
// and their freshness. It belongs to the control goroutine; other goroutines
// read its Snapshot.
type State struct {
	options   Options
	holder    *Holder
	records   *Records
	freshness Freshness
	puller    *Puller
	// storeContacted is set once the store itself has responded.
	storeContacted bool
	// ready is set once the instance may serve; it stays set.
	ready    bool
	snapshot atomic.Pointer[Snapshot]
}

// NewState returns the state of an instance that has just started.
func NewState(options Options) *State {
	s := &State{
		options: options,
		holder:  NewHolder(options.Validate, options.Checker),
		records: NewRecords(options.Checker),
		puller:  NewPuller(options.Self, options.FailureDomain),
	}
	s.publish()
	return s
}

// Config returns the configuration in force, or nil.
func (s *State) Config() *dynamic.Config { return s.holder.Current() }

// Revision returns the revision up to which this instance has every record.
// Heartbeats carry it as store_revision.
func (s *State) Revision() platform.Revision { return s.records.Complete() }

// Records returns the records. The caller must not change them.
func (s *State) Records() *Records { return s.records }

// StoreAge returns the age of the newest update from the store, received
// directly or through peers, or false if there has been none.
func (s *State) StoreAge(now time.Time) (time.Duration, bool) { return s.freshness.Age(now) }

// Ready reports whether the instance may serve. It must have a configuration.
// During startupGrace the store must also have responded and no peer may be
// known to be ahead, so that a new instance starts with the newest configuration
// of the store and its peers. Once true, Ready stays true, also while a newer
// configuration is on its way.
func (s *State) Ready(now time.Time) bool {
	if s.ready || s.holder.Current() == nil {
		return s.ready
	}
	newest := s.storeContacted && !s.puller.Behind(s.records.Complete())
	s.ready = newest || now.Sub(s.options.Started) >= startupGrace
	return s.ready
}

// ShouldWatch reports whether this instance watches the store, given the live
// members of its failure domain.
func (s *State) ShouldWatch(members []string, now time.Time) bool {
	age, contacted := s.freshness.Age(now)
	return ShouldWatch(Rank(s.options.Self, members), age, contacted)
}

// ApplyUpdate applies an update that a Watcher delivered.
func (s *State) ApplyUpdate(update Update) Changes {
	if update.Err != nil {
		return Changes{}
	}
	s.storeContacted = true
	if update.Revision >= s.records.Complete() {
		s.freshness.Observe(update.AsOf)
	}
	return s.apply(update.Entries, update.Revision, update.Full)
}

// ApplyWrite applies a record that this instance has just written.
func (s *State) ApplyWrite(entry platform.Entry) Changes {
	if !s.records.Observe(entry) {
		return Changes{}
	}
	return s.commit([]platform.Entry{entry})
}

// apply applies records from the store or from a peer.
func (s *State) apply(entries []platform.Entry, revision platform.Revision, full bool) Changes {
	if full {
		return s.commit(s.records.Replace(entries, revision))
	}
	return s.commit(s.records.Advance(entries, revision))
}

// commit offers a changed configuration to the holder and publishes the new
// snapshot.
func (s *State) commit(entries []platform.Entry) Changes {
	changes := Changes{Entries: entries}
	for _, entry := range entries {
		if entry.Key != platform.KeyConfig || entry.Deleted {
			continue
		}
		result, err := s.holder.Offer(entry.Value)
		if result == Adopted {
			changes.Config = s.holder.Current()
		}
		changes.Err = errors.CombineErrors(changes.Err, err)
	}
	s.publish()
	return changes
}

func (s *State) publish() {
	s.snapshot.Store(&Snapshot{
		config:    s.holder.Current(),
		records:   s.records.freeze(),
		freshness: s.freshness,
	})
}
