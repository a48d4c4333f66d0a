package shift

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
)

// State is the state of a shift.
type State string

// The states of a shift. Done and TakenBack are ends.
const (
	Running   State = "running"
	Holding   State = "holding"
	Done      State = "done"
	TakenBack State = "taken_back"
)

// Reason says why a record has its state.
type Reason string

// The reasons of a state.
const (
	ReasonStarted     Reason = "started"
	ReasonStepped     Reason = "stepped"
	ReasonLoaded      Reason = "target_loaded"
	ReasonUnhealthy   Reason = "target_unhealthy"
	ReasonLoadUnknown Reason = "target_load_unknown"
	ReasonResumed     Reason = "resumed"
	ReasonCompleted   Reason = "completed"
	ReasonDeadline    Reason = "deadline"
	ReasonRemoved     Reason = "object_removed"
	ReasonVerdict     Reason = "verdict"
	ReasonSuspected   Reason = "evidence_against"
)

// Times that bound a shift.
const (
	// ClockTolerance is the difference between two clocks that has no effect.
	ClockTolerance = 2 * time.Second
	// WriteBound is the longest time for which a write may be under way.
	WriteBound = 3 * time.Second
	// TombstoneAge is the time for which the record of a removed object is kept.
	TombstoneAge = 10 * time.Minute
	// stepsPerVersion is the room for steps between two configuration versions.
	stepsPerVersion = 1 << 24
)

// Record is the stored state of one shift of an object of type O.
type Record[O comparable] struct {
	Name string `json:"name"`
	// ConfigVersion is the configuration that started this generation.
	ConfigVersion uint64 `json:"config_version"`
	// Object is the operators' object of this generation.
	Object O      `json:"object"`
	Step   uint64 `json:"step"`
	State  State  `json:"state"`
	// Share is the part of the traffic that is shifted, between 0 and 1.
	Share float64 `json:"share"`
	// StartedAt and StepAt are times by the clocks of the drivers that wrote them.
	StartedAt time.Time `json:"started_at"`
	StepAt    time.Time `json:"step_at"`
	// Elapsed is the time since the start when the step was written.
	Elapsed time.Duration `json:"elapsed_ns"`
	Reason  Reason        `json:"reason"`
	// Detail is a text for operators.
	Detail string `json:"detail,omitempty"`
	// Removed is set once the object is no longer in the configuration.
	Removed bool `json:"removed,omitempty"`
}

// Ended says whether the shift is done or taken back.
func (r *Record[O]) Ended() bool { return r.State == Done || r.State == TakenBack }

// Decode reads the stored form of a record.
func Decode[O comparable](value []byte) (*Record[O], error) {
	var r Record[O]
	if err := json.Unmarshal(value, &r); err != nil {
		return nil, errors.Wrap(err, "stored shift")
	}
	if r.Name == "" || r.Step == 0 {
		return nil, errors.New("stored shift has no name or no step")
	}
	return &r, nil
}

// Margin is the time before the deadline at which a driver ends a shift that
// is not done.
func Margin(deadline time.Duration) time.Duration {
	return min(2*ClockTolerance+WriteBound, deadline/10)
}

// MarginOver returns the margin of a deadline that leaves the needed time.
func MarginOver(needed time.Duration) time.Duration {
	return min(2*ClockTolerance+WriteBound, needed/9)
}

// localMargin is the time before the deadline at which an instance stops
// applying a shift that has not ended. It covers the largest error of Elapsed
// while clocks differ by up to ClockTolerance.
func localMargin(deadline time.Duration) time.Duration {
	return min(2*ClockTolerance, deadline/20)
}

// Change is what a policy wants the next record to say.
type Change struct {
	State  State
	Share  float64
	Reason Reason
	Detail string
}
