package platform

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"samphireferry.example/ferry/platform"
)

// Outage says how the store fails while it is down.
type Outage string

// The kinds of outage.
const (
	// OutageNone lets the store answer.
	OutageNone Outage = ""
	// OutageRefuse fails every call at once.
	OutageRefuse Outage = "refuse"
	// OutageHang gives no answer until the caller gives up.
	OutageHang Outage = "hang"
)

// Duration is a time.Duration that is written as "250ms" in JSON.
type Duration time.Duration

// MarshalJSON returns the duration with its unit.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(time.Duration(d).String()) }

// UnmarshalJSON reads a duration with its unit.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return errors.Newf("%s is not a duration such as \"250ms\"", data)
	}
	parsed, err := time.ParseDuration(text)
	*d = Duration(parsed)
	return err
}

// Faults are the fault switches of the stand-in. The zero value has no fault.
type Faults struct {
	// Outage takes the store down. The list of instances is down with it.
	Outage Outage `json:"outage,omitempty"`
	// Delay is added to every call before it takes effect.
	Delay Duration `json:"delay,omitempty"`
	// LoseAnswers is the part of the writes, between 0 and 1, whose answer is
	// lost after the write took effect.
	LoseAnswers float64 `json:"lose_answers,omitempty"`
	// StaleReads is the part of the reads and watches, between 0 and 1, that
	// are answered from the store as it was StaleAge ago.
	StaleReads float64  `json:"stale_reads,omitempty"`
	StaleAge   Duration `json:"stale_age,omitempty"`
	// SilentWatches gives no answer to watches until their caller gives up.
	// Watches that wait when it is set stay silent also after it is cleared.
	SilentWatches bool `json:"silent_watches,omitempty"`
	// InstanceLag is the age of the list of instances that callers get.
	InstanceLag Duration `json:"instance_lag,omitempty"`
}

// Faults returns the fault switches.
func (p *Platform) Faults() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// SetFaults replaces the fault switches.
func (p *Platform) SetFaults(faults Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if faults.SilentWatches && !p.faults.SilentWatches {
		p.silence++
	}
	p.faults = faults
	p.notify()
}

// lostError is the failure of a write whose answer is lost.
type lostError struct{}

// errAnswerLost makes the HTTP server close the connection without an answer.
var errAnswerLost error = lostError{}

func (lostError) Error() string { return "answer lost" }

// Unwrap makes the error one of platform.ErrUnavailable.
func (lostError) Unwrap() error { return platform.ErrUnavailable }

func (f Faults) outage(ctx context.Context) error {
	switch f.Outage {
	case OutageRefuse:
		return platform.ErrUnavailable
	case OutageHang:
		return untilGivenUp(ctx)
	}
	return nil
}

// untilGivenUp waits for the caller to give up.
func untilGivenUp(ctx context.Context) error {
	<-ctx.Done()
	return unavailable(ctx)
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		if ctx.Err() != nil {
			return unavailable(ctx)
		}
		return nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return unavailable(ctx)
	}
}

func unavailable(ctx context.Context) error {
	return errors.Wrap(platform.ErrUnavailable, context.Cause(ctx).Error())
}
