package platform

import (
	"context"
	"slices"
	"time"

	"samphireferry.example/ferry/platform"
)

// Get implements platform.Store.
func (p *Platform) Get(ctx context.Context, key string) (platform.Entry, error) {
	faults, err := p.begin(ctx, platform.CallGet)
	if err != nil {
		return platform.Entry{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.keys[key]
	if h == nil {
		return platform.Entry{}, platform.ErrNotFound
	}
	s := h.at(time.Now().Add(-p.readAge(faults)))
	if s == nil || s.entry.Deleted {
		return platform.Entry{}, platform.ErrNotFound
	}
	return cloneEntry(s.entry), nil
}

// List implements platform.Store.
func (p *Platform) List(ctx context.Context, prefix string) ([]platform.Entry, platform.Revision, error) {
	faults, err := p.begin(ctx, platform.CallList)
	if err != nil {
		return nil, 0, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	v := p.view(prefix, 0, time.Now().Add(-p.readAge(faults)))
	v.entries = slices.DeleteFunc(v.entries, func(e platform.Entry) bool { return e.Deleted })
	return v.entries, v.revision, nil
}

// CompareAndSwap implements platform.Store.
func (p *Platform) CompareAndSwap(ctx context.Context, key string, value []byte, expected platform.Revision, lease platform.LeaseID) (platform.Revision, error) {
	faults, err := p.begin(ctx, platform.CallSwap)
	if err != nil {
		return 0, err
	}
	revision, err := p.compareAndSwap(key, value, expected, lease)
	if p.loseResponse(faults) {
		return 0, errResponseLost
	}
	return revision, err
}

func (p *Platform) compareAndSwap(key string, value []byte, expected platform.Revision, lease platform.LeaseID) (platform.Revision, error) {
	if len(value) > platform.MaxValueBytes {
		return 0, platform.ErrTooLarge
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if lease != 0 && p.liveLease(lease) == nil {
		return 0, platform.ErrLeaseExpired
	}
	if p.currentRevision(key) != expected {
		return 0, platform.ErrConflict
	}
	return p.write(key, value, lease, false), nil
}

// Delete implements platform.Store.
func (p *Platform) Delete(ctx context.Context, key string, expected platform.Revision) error {
	faults, err := p.begin(ctx, platform.CallDelete)
	if err != nil {
		return err
	}
	err = p.delete(key, expected)
	if p.loseResponse(faults) {
		return errResponseLost
	}
	return err
}

func (p *Platform) delete(key string, expected platform.Revision) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.currentRevision(key) != expected {
		return platform.ErrConflict
	}
	if expected != 0 {
		p.write(key, nil, 0, true)
	}
	return nil
}

// currentRevision returns the revision of the key, or 0 when the key has no value. The
// mutex is held.
func (p *Platform) currentRevision(key string) platform.Revision {
	s := p.liveState(key)
	if s == nil {
		return 0
	}
	return s.entry.Revision
}

// Watch implements platform.Store.
func (p *Platform) Watch(ctx context.Context, prefix string, after platform.Revision, wait time.Duration) ([]platform.Entry, platform.Revision, error) {
	faults, err := p.begin(ctx, platform.CallWatch)
	if err != nil {
		return nil, 0, err
	}
	w := p.newWatch(prefix, after, faults)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for done := false; ; {
		v, changed, err := p.poll(ctx, w)
		if err != nil {
			return nil, 0, err
		}
		if len(v.entries) > 0 || done {
			return v.entries, max(v.revision, after), nil
		}
		select {
		case <-changed:
		case <-timer.C:
			done = true
		case <-ctx.Done():
			return nil, 0, unavailable(ctx)
		}
	}
}
