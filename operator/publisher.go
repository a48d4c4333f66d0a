package operator

import (
	"context"
	"crypto/rand"
	"time"

	"github.com/cockroachdb/errors"

	"samphireferry.example/ferry/config/dynamic"
	"samphireferry.example/ferry/platform"
)

// retryPause is the pause before a call on the store is repeated.
const retryPause = 200 * time.Millisecond

// maxEdits bounds how often an edit is applied again after a lost race.
const maxEdits = 8

// Published is the published configuration with its revision in the store.
type Published struct {
	// Config is nil when nothing has been published.
	Config   *dynamic.Config
	Revision platform.Revision
}

// Set returns the published set, or nil.
func (p Published) Set() *dynamic.Set {
	if p.Config == nil {
		return nil
	}
	return &p.Config.Set
}

// Version returns the published version, or 0.
func (p Published) Version() uint64 {
	if p.Config == nil {
		return 0
	}
	return p.Config.Version
}

// Publisher publishes configurations. It is safe for concurrent use.
type Publisher struct {
	store platform.Store
	newID func() string
}

// NewPublisher returns a publisher that writes to the store. NewID returns a
// unique publish id for each call; nil draws random ones.
func NewPublisher(store platform.Store, newID func() string) *Publisher {
	if newID == nil {
		newID = rand.Text
	}
	return &Publisher{store: store, newID: newID}
}

// Current reads the published configuration. It repeats the call until the
// store answers or the context ends.
func (p *Publisher) Current(ctx context.Context) (Published, error) {
	for {
		published, err := p.read(ctx)
		if !errors.Is(err, platform.ErrUnavailable) {
			return published, err
		}
		if !pause(ctx, retryPause) {
			return Published{}, err
		}
	}
}

func (p *Publisher) read(ctx context.Context) (Published, error) {
	entry, err := p.store.Get(ctx, platform.KeyConfig)
	if errors.Is(err, platform.ErrNotFound) {
		return Published{}, nil
	}
	if err != nil {
		return Published{}, err
	}
	config, err := dynamic.Decode(entry.Value)
	return Published{Config: config, Revision: entry.Revision}, err
}

// Publish replaces the base, as read by Current, by the set. It returns the
// configuration that is now published, or one of these errors: dynamic.Faults,
// *RaceError, *UnsettledError, platform.ErrTooLarge.
func (p *Publisher) Publish(ctx context.Context, base Published, set *dynamic.Set) (*dynamic.Config, error) {
	faults := append(dynamic.Check(set), dynamic.CheckChange(base.Set(), set)...)
	if err := faults.Err(); err != nil {
		return nil, err
	}
	next := base.Config.Next(set, p.newID())
	value, err := next.Encode()
	if err != nil {
		return nil, err
	}
	for {
		_, err := p.store.CompareAndSwap(ctx, platform.KeyConfig, value, base.Revision, 0)
		switch {
		case err == nil:
			return next, nil
		case errors.Is(err, platform.ErrConflict):
			return p.settle(ctx, base, next)
		case !errors.Is(err, platform.ErrUnavailable):
			return nil, err
		}
		if !pause(ctx, retryPause) {
			return nil, &UnsettledError{Version: next.Version, PublishID: next.PublishID}
		}
	}
}

// settle finds out after a conflict whether the configuration was published,
// by an attempt whose answer was lost, or another one was.
func (p *Publisher) settle(ctx context.Context, base Published, next *dynamic.Config) (*dynamic.Config, error) {
	unsettled := &UnsettledError{Version: next.Version, PublishID: next.PublishID}
	for {
		current, err := p.Current(ctx)
		if err != nil {
			return nil, unsettled
		}
		if current.Version() >= next.Version {
			return judge(base, next, current.Config)
		}
		// The store has a newer revision than the base, so this is an old value.
		if !pause(ctx, retryPause) {
			return nil, unsettled
		}
	}
}

// judge compares a configuration that another operator, or a lost attempt of
// this one, has published.
func judge(base Published, next, current *dynamic.Config) (*dynamic.Config, error) {
	publishID, known := current.PublishedBy(next.Version)
	switch {
	case !known:
		return nil, &UnsettledError{Version: next.Version, PublishID: next.PublishID}
	case publishID == next.PublishID:
		return next, nil
	}
	before := base.Set()
	if before == nil {
		before = &dynamic.Set{}
	}
	return nil, &RaceError{Published: current, Changes: dynamic.Diff(before, &current.Set)}
}

// Edit applies a change to the published set and publishes the result. When
// another operator is faster, it applies the change again to what that one
// published.
func (p *Publisher) Edit(ctx context.Context, change func(*dynamic.Set) error) (*dynamic.Config, error) {
	for attempt := 1; ; attempt++ {
		base, err := p.Current(ctx)
		if err != nil {
			return nil, err
		}
		set, err := base.Set().Clone()
		if err != nil {
			return nil, err
		}
		if err := change(set); err != nil {
			return nil, err
		}
		config, err := p.Publish(ctx, base, set)
		var race *RaceError
		if !errors.As(err, &race) || attempt == maxEdits {
			return config, err
		}
	}
}

// pause waits and says whether the context still lives.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
