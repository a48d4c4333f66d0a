package shift

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
)

// State is the state of a shift.
type State string

// The states of a shift. Done and TakenBack are final within a generation.
const (
	Running   State = "running"
	Holding   State = "holding"
	Done      State = "done"
	TakenBack State = "taken_back"
)

// Reason is the reason for the state of a record.
type Reason string

// The reasons for a state.
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
	// MaxWriteDuration is the longest time for which a write may be in progress.
	MaxWriteDuration = 3 * time.Second
	// TombstoneAge is the time for which the record of a removed object is kept
	// after its last step.
	TombstoneAge = 10 * time.Minute
	// stepsPerVersion is the number of steps reserved between two configuration
	// versions.
	stepsPerVersion = 1 << 24
)

// Record is the stored state of one shift of an object of type O.
type Record[O comparable] struct {
	Name string `json:"name"`
	// ConfigVersion is the configuration version that started this generation or,
	// once Removed is set, the one that removed the object.
	ConfigVersion uint64 `json:"config_version"`
	// Object is the object of this generation as operators published it.
	Object O      `json:"object"`
	Step   uint64 `json:"step"`
	State  State  `json:"state"`
	// Share is the fraction of the traffic that is shifted, between 0 and 1.
	Share float64 `json:"share"`
	// StartedAt and StepAt are wall-clock times of the drivers that wrote them.
	StartedAt time.Time `json:"started_at"`
	StepAt    time.Time `json:"step_at"`
	// Elapsed is the time from the start until the step was planned.
	Elapsed time.Duration `json:"elapsed_ns"`
	Reason  Reason        `json:"reason"`
	// Detail explains the reason to operators.
	Detail string `json:"detail,omitempty"`
	// Removed is set when the object is no longer in the configuration.
	Removed bool `json:"removed,omitempty"`
}

// Ended reports whether the shift is done or taken back.
func (r *Record[O]) Ended() bool { return r.State == Done || r.State == TakenBack }

// Decode parses the stored JSON form of a record. It returns an error for
// invalid JSON and for a record without a name or a step.
func Decode[O comparable](value []byte) (*Record[O], error) {
	var r Record[O]
	if err := json.Unmarshal(value, &r); err != nil {
		return nil, errors.Wrap(err, "decode stored shift")
	}
	if r.Name == "" || r.Step == 0 {
		return nil, errors.New("stored shift has no name or no step")
	}
	return &r, nil
}

// Margin returns the time before the deadline at which a driver ends a shift
// that is not done.
func Margin(deadline time.Duration) time.Duration {
	return min(2*ClockTolerance+MaxWriteDuration, deadline/10)
}

// MarginOver returns the margin to add to the needed time, so that a deadline of
// their sum leaves the needed time before its own margin.
func MarginOver(needed time.Duration) time.Duration {
	return min(2*ClockTolerance+MaxWriteDuration, needed/9)
}

// localMargin returns the time before the deadline at which an instance stops
// applying a shift that has not ended. For deadlines of at least 80 s it covers
// the largest error of Elapsed while clocks differ by up to ClockTolerance.
func localMargin(deadline time.Duration) time.Duration {
	return min(2*ClockTolerance, deadline/20)
}

// Change holds the values that a policy sets in the next record.
type Change struct {
	State  State
	Share  float64
	Reason Reason
	Detail string
}
