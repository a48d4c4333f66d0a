package platform

import (
	"slices"
	"strings"
	"time"

	"samphireferry.example/ferry/platform"
)

// historyLength is the number of states of one key that are kept.
const historyLength = 16

// state is the state of a key from a time on.
type state struct {
	entry platform.Entry
	lease platform.LeaseID
	since time.Time
}

// history holds the states of one key, oldest first; it is never empty.
type history struct {
	states []state
}

func (h *history) newest() *state { return &h.states[len(h.states)-1] }

// at returns the state at the time, or nil when none that old is kept.
func (h *history) at(when time.Time) *state {
	for i := len(h.states) - 1; i >= 0; i-- {
		if !h.states[i].since.After(when) {
			return &h.states[i]
		}
	}
	return nil
}

func (h *history) add(s state) {
	h.states = append(h.states, s)
	if len(h.states) > historyLength {
		h.states = slices.Delete(h.states, 0, 1)
	}
}

// liveState returns the newest state of the key, or nil when the key has no value.
// The mutex is held.
func (p *Platform) liveState(key string) *state {
	h := p.keys[key]
	if h == nil || h.newest().entry.Deleted {
		return nil
	}
	return h.newest()
}

// write records a new state of the key. The mutex is held.
func (p *Platform) write(key string, value []byte, lease platform.LeaseID, deleted bool) platform.Revision {
	p.revision++
	h := p.keys[key]
	if h == nil {
		h = &history{}
		p.keys[key] = h
	}
	h.add(state{
		entry: platform.Entry{Key: key, Value: slices.Clone(value), Revision: p.revision, Deleted: deleted},
		lease: lease,
		since: time.Now(),
	})
	p.notify()
	return p.revision
}

// view holds entries of the store at one time, and the newest revision at that time.
type view struct {
	entries  []platform.Entry
	revision platform.Revision
}

// view returns the entries at the time that have the prefix and changed after the
// revision, including deleted ones, in key order. The mutex is held.
func (p *Platform) view(prefix string, after platform.Revision, when time.Time) view {
	v := view{}
	for key, h := range p.keys {
		s := h.at(when)
		if s == nil {
			continue
		}
		v.revision = max(v.revision, s.entry.Revision)
		if strings.HasPrefix(key, prefix) && s.entry.Revision > after {
			v.entries = append(v.entries, cloneEntry(s.entry))
		}
	}
	slices.SortFunc(v.entries, func(a, b platform.Entry) int { return strings.Compare(a.Key, b.Key) })
	return v
}

// readAge returns the age of the state from which a read is served, chosen at random
// when reads may be stale. The mutex is held.
func (p *Platform) readAge(faults Faults) time.Duration {
	if p.random.Float64() < faults.StaleReads {
		return time.Duration(faults.StaleAge)
	}
	return 0
}

func cloneEntry(entry platform.Entry) platform.Entry {
	entry.Value = slices.Clone(entry.Value)
	return entry
}
