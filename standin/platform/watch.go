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
	// age is the age of the states that the watch sees.
	age time.Duration
	// silence is the number of times that watches had been silenced before.
	silence int
}

func (p *Platform) newWatch(prefix string, after platform.Revision, faults Faults) watch {
	p.mu.Lock()
	defer p.mu.Unlock()
	return watch{prefix: prefix, after: after, age: p.readAge(faults), silence: p.silence}
}

// poll returns what the watch sees now and a channel that is closed at the
// next write. A silenced watch waits until its caller gives up.
func (p *Platform) poll(ctx context.Context, w watch) (view, <-chan struct{}, error) {
	p.mu.Lock()
	v := p.view(w.prefix, w.after, time.Now().Add(-w.age))
	changed := p.changed
	faults := p.faults
	silent := faults.SilentWatches || p.silence != w.silence
	p.mu.Unlock()
	if silent {
		return v, nil, untilGivenUp(ctx)
	}
	return v, changed, faults.outage(ctx)
}
