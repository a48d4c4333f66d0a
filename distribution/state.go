package distribution

import (
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"samphireferry.example/ferry/config/dynamic"
	"samphireferry.example/ferry/invariant"
	"samphireferry.example/ferry/platform"
)

// startupGrace is how long a new instance waits for the store and for peers
// that are ahead before it serves with the configuration that it has.
const startupGrace = 2 * time.Second

// Options are the settings of a State.
type Options struct {
	// Self and FailureDomain name the instance.
	Self          string
	FailureDomain string
	// Validate refuses a configuration by an error; nil accepts all.
	Validate func(*dynamic.Config) error
	// Checker records violated invariants; it may be nil.
	Checker *invariant.Checker
	// Started is when the instance started.
	Started time.Time
}

// Changes is what an update changed.
type Changes struct {
	// Config is the configuration that was adopted, or nil.
	Config *dynamic.Config
	// Entries are the records that changed, deletions included.
	Entries []platform.Entry
	// Err says why a configuration in the update was not adopted.
	Err error
}

// State is the distributed state of one instance: configuration, records, and
// how fresh they are. It belongs to the control goroutine; other goroutines
// read its Snapshot.
type State struct {
	options   Options
	holder    *Holder
	records   *Records
	freshness Freshness
	puller    *Puller
	// storeHeard says that the store itself has answered.
	storeHeard bool
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

// Revision returns the revision up to which every record is known. Heartbeats
// carry it as store_revision.
func (s *State) Revision() platform.Revision { return s.records.Complete() }

// Records returns the records. They must not be changed by the caller.
func (s *State) Records() *Records { return s.records }

// StoreAge returns how long ago the newest word of the store left it, by any
// path, or false when there has been none.
func (s *State) StoreAge(now time.Time) (time.Duration, bool) { return s.freshness.Age(now) }

// Ready says whether the instance may serve: it has a configuration, and
// within the first seconds also the store has answered and no peer is known to
// be ahead. A new instance thus takes the newest of store and peers. Once it
// may serve it always may, also while a newer configuration is on its way.
func (s *State) Ready(now time.Time) bool {
	if s.ready || s.holder.Current() == nil {
		return s.ready
	}
	newest := s.storeHeard && !s.puller.Behind(s.records.Complete())
	s.ready = newest || now.Sub(s.options.Started) >= startupGrace
	return s.ready
}

// ShouldWatch says whether this instance watches the store, given the live
// members of its failure domain.
func (s *State) ShouldWatch(members []string, now time.Time) bool {
	age, heard := s.freshness.Age(now)
	return ShouldWatch(Rank(s.options.Self, members), age, heard)
}

// ApplyUpdate takes in what a Watcher delivered.
func (s *State) ApplyUpdate(update Update) Changes {
	if update.Err != nil {
		return Changes{}
	}
	s.storeHeard = true
	if update.Revision >= s.records.Complete() {
		s.freshness.Heard(update.Heard)
	}
	return s.apply(update.Entries, update.Revision, update.Full)
}

// ApplyWrite takes in a record that this instance has just written.
func (s *State) ApplyWrite(entry platform.Entry) Changes {
	if !s.records.Observe(entry) {
		return Changes{}
	}
	return s.changed([]platform.Entry{entry})
}

// apply takes in records of the store or of a peer.
func (s *State) apply(entries []platform.Entry, revision platform.Revision, full bool) Changes {
	if full {
		return s.changed(s.records.Replace(entries, revision))
	}
	return s.changed(s.records.Advance(entries, revision))
}

// changed offers a changed configuration to the holder and publishes the new
// state.
func (s *State) changed(entries []platform.Entry) Changes {
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
