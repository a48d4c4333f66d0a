package operator

import (
	"context"
	"crypto/rand"
	"time"

	"github.com/cockroachdb/errors"

	"samphireferry.example/ferry/config/dynamic"
	"samphireferry.example/ferry/platform"
)

// retryDelay is the time between two attempts of a call to the store.
const retryDelay = 200 * time.Millisecond

// maxEditAttempts limits how often an edit is applied and published while other
// operators publish first.
const maxEditAttempts = 8

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

// NewPublisher returns a publisher that writes to the store. The function newID
// returns a unique publish id for each call; nil means random ids.
func NewPublisher(store platform.Store, newID func() string) *Publisher {
	if newID == nil {
		newID = rand.Text
	}
	return &Publisher{store: store, newID: newID}
}

// Current reads the published configuration. It repeats the call until the
// store responds or the context ends.
func (p *Publisher) Current(ctx context.Context) (Published, error) {
	for {
		published, err := p.read(ctx)
		if !errors.Is(err, platform.ErrUnavailable) {
			return published, err
		}
		if !sleep(ctx, retryDelay) {
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

// Publish replaces the base, as read by Current, with the set. It returns the
// new configuration, which has been published, or one of these errors:
// dynamic.ValidationErrors, *RaceError, *UnknownOutcomeError,
// platform.ErrTooLarge.
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
			return p.resolveConflict(ctx, base, next)
		case !errors.Is(err, platform.ErrUnavailable):
			return nil, err
		}
		if !sleep(ctx, retryDelay) {
			return nil, &UnknownOutcomeError{Version: next.Version, PublishID: next.PublishID}
		}
	}
}

// resolveConflict determines after a conflict whether the next configuration was
// published, by an attempt whose response was lost, or another one was.
func (p *Publisher) resolveConflict(ctx context.Context, base Published, next *dynamic.Config) (*dynamic.Config, error) {
	unknownErr := &UnknownOutcomeError{Version: next.Version, PublishID: next.PublishID}
	for {
		current, err := p.Current(ctx)
		if err != nil {
			return nil, unknownErr
		}
		if current.Version() >= next.Version {
			return publishOutcome(base, next, current.Config)
		}
		// The store has a newer revision than the base, so this read returned an
		// outdated value.
		if !sleep(ctx, retryDelay) {
			return nil, unknownErr
		}
	}
}

// publishOutcome determines from the configuration that is published now whether
// the next one was published by this publisher or its version by another operator.
func publishOutcome(base Published, next, current *dynamic.Config) (*dynamic.Config, error) {
	publishID, known := current.PublishIDOf(next.Version)
	switch {
	case !known:
		return nil, &UnknownOutcomeError{Version: next.Version, PublishID: next.PublishID}
	case publishID == next.PublishID:
		return next, nil
	}
	before := base.Set()
	if before == nil {
		before = &dynamic.Set{}
	}
	return nil, &RaceError{Published: current, Changes: dynamic.Diff(before, &current.Set)}
}

// Edit applies a change to the published set and publishes the result. If another
// operator publishes first, it applies the change again to the newly published
// set, with at most maxEditAttempts attempts in all.
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
		if !errors.As(err, &race) || attempt == maxEditAttempts {
			return config, err
		}
	}
}

// sleep waits for the duration and reports whether it passed before the context
// ended.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
