package rollouts

import (
	"fmt"
	"math"
	"time"
)

const (
	// FalseAlarm bounds the probability that a version that is like the old
	// one is ever stopped in one roll-out, over all instances and routes.
	FalseAlarm = 0.01
	// measures is the number of measures for each route.
	measures = 2
	// suspicionPart is the part of the evidence for a verdict, on a logarithmic
	// scale, from which a roll-out does not grow.
	suspicionPart = 0.5
	// minBaseline is the number of answers of the old version that the bound
	// of slow answers is read from.
	minBaseline = 20
	// maxBaseline is the number from which the older half is dropped.
	maxBaseline = 2000
	// usualPart is the part of the old version's answers that is taken as usual.
	usualPart = 0.9
	// slowFactor and slowMargin make the bound of slow answers from the usual one.
	slowFactor   = 2
	slowMarginMs = 5
)

// Measure names what a verdict rests on.
type Measure string

// The measures of a version.
const (
	MeasureFailures Measure = "failures"
	MeasureLatency  Measure = "latency"
)

// Finding is the evidence on which a version is stopped.
type Finding struct {
	Route   string
	Measure Measure
	// Old and New are the counts since the judge began.
	Old Counts
	New Counts
}

// String describes the finding for operators.
func (f *Finding) String() string {
	return fmt.Sprintf("%s on route %s: new version failed %d of %d, old version %d of %d",
		f.Measure, f.Route, f.New.Failures, f.New.Requests, f.Old.Failures, f.Old.Requests)
}

// Judge compares the versions of one generation of a roll-out. It is pure and
// is used by one goroutine.
type Judge struct {
	shared    bool
	threshold float64
	slices    int
	routes    map[string]*routeTest
	finding   *Finding
}

// routeTest is the evidence on one route.
type routeTest struct {
	shared   bool
	strata   map[string]*stratum
	old      Counts
	new      Counts
	baseline Counts
	failures detector
	latency  detector
	step     uint64
}

// newSharedJudge returns a judge whose strata are of several instances.
func newSharedJudge(deadline time.Duration, routes, judges, strata int) *Judge {
	j := NewJudge(deadline, routes, judges, strata)
	j.shared = true
	return j
}

// NewJudge returns a judge for a roll-out with the deadline. The whole fleet
// has the given number of judges and routes; this one gets samples of the given
// number of strata.
func NewJudge(deadline time.Duration, routes, judges, strata int) *Judge {
	tests := max(routes, 1) * measures * max(judges, 1)
	return &Judge{
		threshold: float64(tests) / FalseAlarm,
		slices:    int(deadline/minSlice) * max(strata, 1),
		routes:    map[string]*routeTest{},
	}
}

// Sample is what one instance has counted on one route. Counts only rise.
type Sample struct {
	Instance string
	// Stratum names the instances that are compared as one, such as those of
	// one failure domain.
	Stratum string
	Route   string
	// Step is the step of the roll-out that the instance applies. Requests
	// before and after a step are not compared with each other.
	Step uint64
	Old  Counts
	New  Counts
}

// Add takes in a sample and returns a finding once there is enough evidence.
// It then returns the same one for ever.
func (j *Judge) Add(now time.Time, sample Sample) *Finding {
	if j.finding != nil {
		return j.finding
	}
	test := j.route(sample.Route)
	test.stepped(sample.Step)
	s := test.stratum(sample.Stratum)
	s.take(now, sample)
	ended, over := s.end(now)
	if !over {
		return nil
	}
	if trial := s.trial(ended); trial.usable() {
		test.add(trial)
	}
	test.extendBaseline(ended.old)
	j.finding = j.find(sample.Route, test)
	return j.finding
}

// Suspects says whether there is some evidence against the new version, though
// not enough for a finding.
func (j *Judge) Suspects() bool {
	bound := math.Pow(j.threshold, suspicionPart)
	for _, t := range j.routes {
		if t.failures.value() >= bound || t.latency.value() >= bound {
			return true
		}
	}
	return j.finding != nil
}

// slowBucket returns the highest bucket of answers that are not slow on the
// route. It returns false while too little is known.
func (j *Judge) slowBucket(route string) (int, bool) {
	test := j.routes[route]
	if test == nil {
		return 0, false
	}
	return test.slowBucket()
}

func (j *Judge) route(name string) *routeTest {
	test := j.routes[name]
	if test == nil {
		test = &routeTest{
			shared:   j.shared,
			strata:   map[string]*stratum{},
			failures: newDetector(j.slices),
			latency:  newDetector(j.slices),
		}
		j.routes[name] = test
	}
	return test
}

func (j *Judge) find(route string, test *routeTest) *Finding {
	measure := MeasureFailures
	if test.failures.value() < j.threshold {
		measure = MeasureLatency
		if test.latency.value() < j.threshold {
			return nil
		}
	}
	return &Finding{Route: route, Measure: measure, Old: test.old, New: test.new}
}

func (t *routeTest) stratum(name string) *stratum {
	s := t.strata[name]
	if s == nil {
		s = &stratum{shared: t.shared, members: map[string]*member{}}
		t.strata[name] = s
	}
	return s
}

// stepped tells the detectors of a new step.
func (t *routeTest) stepped(step uint64) {
	if step <= t.step {
		return
	}
	t.step = step
	t.failures.stepped()
	t.latency.stepped()
}

// add tests one trial.
func (t *routeTest) add(trial trial) {
	t.old = t.old.Plus(trial.old[len(trial.old)/2])
	t.new = t.new.Plus(trial.new)
	bucket, known := t.slowBucket()
	var failures, slow []table2x2
	for _, old := range trial.old {
		failures = append(failures, table2x2{
			newRequests: trial.new.Requests,
			oldRequests: old.Requests,
			newEvents:   trial.new.Failures,
			oldEvents:   old.Failures,
		})
		slow = append(slow, table2x2{
			newRequests: trial.new.answered(),
			oldRequests: old.answered(),
			newEvents:   trial.new.slower(bucket),
			oldEvents:   old.slower(bucket),
		})
	}
	t.failures.add(failures...)
	if known {
		t.latency.add(slow...)
	}
}

// slowBucket returns the highest bucket of answers that are not slow, read
// from the old version's answers in earlier slices.
func (t *routeTest) slowBucket() (int, bool) {
	total := t.baseline.answered()
	if total < minBaseline {
		return 0, false
	}
	usual := 0
	for float64(t.baseline.slower(usual)) > (1-usualPart)*float64(total) {
		usual++
	}
	bound := max(slowFactor*bucketBound(usual), bucketBound(usual)+slowMarginMs)
	return int(math.Ceil(2*math.Log2(bound) - 1e-9)), true
}

func (t *routeTest) extendBaseline(before Counts) {
	t.baseline = t.baseline.Plus(before)
	if t.baseline.answered() < maxBaseline {
		return
	}
	for i := range t.baseline.Latency {
		t.baseline.Latency[i] /= 2
	}
}
