package platform

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"samphireferry.example/ferry/platform"
)

// Outage is the way in which the store fails while it is unavailable.
type Outage string

// Kinds of outage.
const (
	// OutageNone means that the store is available.
	OutageNone Outage = ""
	// OutageRefuse fails every call immediately.
	OutageRefuse Outage = "refuse"
	// OutageHang sends no response until the caller cancels.
	OutageHang Outage = "hang"
)

// Duration is a time.Duration that is written as "250ms" in JSON.
type Duration time.Duration

// MarshalJSON encodes the duration as a string with its unit.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(time.Duration(d).String()) }

// UnmarshalJSON decodes a string with a unit, as time.ParseDuration accepts it.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return errors.Newf("%s is not a duration such as \"250ms\"", data)
	}
	parsed, err := time.ParseDuration(text)
	*d = Duration(parsed)
	return err
}

// Faults holds the fault switches of the stand-in. The zero value has no fault.
type Faults struct {
	// Outage makes the store and the list of instances unavailable.
	Outage Outage `json:"outage,omitempty"`
	// Delay is added to every call before it takes effect.
	Delay Duration `json:"delay,omitempty"`
	// LoseAnswers is the fraction of the writes, between 0 and 1, whose response is
	// lost after the write took effect.
	LoseAnswers float64 `json:"lose_answers,omitempty"`
	// StaleReads is the fraction of the reads and watches, between 0 and 1, that
	// are served from the store as it was StaleAge ago.
	StaleReads float64  `json:"stale_reads,omitempty"`
	StaleAge   Duration `json:"stale_age,omitempty"`
	// SilentWatches leaves watches without a response until their caller cancels.
	// Watches that wait when it is set stay silent even after it is cleared.
	SilentWatches bool `json:"silent_watches,omitempty"`
	// InstanceLag is the age of the list of instances that is returned.
	InstanceLag Duration `json:"instance_lag,omitempty"`
}

// Faults returns the fault switches.
func (p *Platform) Faults() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// SetFaults replaces the fault switches and wakes the waiting watches.
func (p *Platform) SetFaults(faults Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if faults.SilentWatches && !p.faults.SilentWatches {
		p.silenceCount++
	}
	p.faults = faults
	p.notify()
}

// responseLostError is the error of a write whose response is lost.
type responseLostError struct{}

// errResponseLost makes the HTTP server close the connection without a response.
var errResponseLost error = responseLostError{}

func (responseLostError) Error() string { return "response lost" }

// Unwrap returns platform.ErrUnavailable.
func (responseLostError) Unwrap() error { return platform.ErrUnavailable }

// outage returns the failure of a call during an outage, or nil.
func (f Faults) outage(ctx context.Context) error {
	switch f.Outage {
	case OutageRefuse:
		return platform.ErrUnavailable
	case OutageHang:
		return waitForCancel(ctx)
	}
	return nil
}

// waitForCancel waits until the caller cancels.
func waitForCancel(ctx context.Context) error {
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
