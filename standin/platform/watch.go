package platform

import (
	"context"
	"time"

	"samphireferry.example/ferry/platform"
)

// watch is one waiting watch.
type watch struct {
	prefix string
	after  platform.Revision
	// age is the age of the states that the watch returns.
	age time.Duration
	// silenceCount is Platform.silenceCount at the start of the watch.
	silenceCount int
}

func (p *Platform) newWatch(prefix string, after platform.Revision, faults Faults) watch {
	p.mu.Lock()
	defer p.mu.Unlock()
	return watch{prefix: prefix, after: after, age: p.readAge(faults), silenceCount: p.silenceCount}
}

// poll returns the current view of the watch and a channel that is closed at the next
// write or change of the faults. A silenced watch waits until its caller cancels.
func (p *Platform) poll(ctx context.Context, w watch) (view, <-chan struct{}, error) {
	p.mu.Lock()
	if w.after > p.revision {
		p.mu.Unlock()
		return view{}, nil, platform.ErrHistoryGone
	}
	v := p.view(w.prefix, w.after, time.Now().Add(-w.age))
	changed := p.changed
	faults := p.faults
	silent := faults.SilentWatches || p.silenceCount != w.silenceCount
	p.mu.Unlock()
	if silent {
		return v, nil, waitForCancel(ctx)
	}
	return v, changed, faults.outage(ctx)
}
