package shift_test

import (
	"fmt"
	"time"

	"samphireferry.example/ferry/platform"
	"samphireferry.example/ferry/shift"
)

// A job is shifted completely in one step.
type job struct {
	Name     string
	Deadline time.Duration
}

func Example() {
	driver := shift.NewDriver(shift.Kind[job]{
		Prefix:   "jobs/",
		Name:     func(j job) string { return j.Name },
		Deadline: func(j job) time.Duration { return j.Deadline },
		Start: func(*shift.Record[job], job) shift.Change {
			return shift.Change{State: shift.Running, Reason: shift.ReasonStarted}
		},
		Next: func(_ time.Time, _ shift.Progress, r *shift.Record[job]) (shift.Change, bool) {
			return shift.Change{State: shift.Done, Share: 1, Reason: shift.ReasonCompleted}, !r.Ended()
		},
	}, nil)
	now := time.Now()
	object := job{Name: "nightly", Deadline: time.Minute}
	driver.Configure(1, []job{object})
	for revision := platform.Revision(1); ; revision++ {
		write, ok := driver.Plan(now)
		if !ok {
			break
		}
		driver.Done(write, revision, nil)
		r := driver.Record("nightly")
		fmt.Println(r.State, r.Reason, driver.Share(now, object))
	}
	// Output:
	// running started 0
	// done completed 1
}
