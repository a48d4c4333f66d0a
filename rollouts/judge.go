package rollouts

import (
	"fmt"
	"math"
	"time"
)

const (
	// FalseAlarm bounds the probability that a version that behaves like the old
	// one is ever stopped in one roll-out, across all instances and routes.
	FalseAlarm = 0.01
	// measures is the number of measures per route.
	measures = 2
	// suspicionFraction is the fraction of the evidence needed for a verdict, on
	// a logarithmic scale, from which the share of a roll-out does not grow.
	suspicionFraction = 0.5
	// minBaselineResponses is the number of responses of the old version that
	// are needed to compute the bound for slow responses.
	minBaselineResponses = 20
	// maxBaselineResponses is the number of responses from which the counts of
	// the baseline are halved.
	maxBaselineResponses = 2000
	// baselineQuantile is the quantile of the old version's latencies from which
	// the bound for slow responses is computed.
	baselineQuantile = 0.9
	// A response is slow above slowFactor times the baseline quantile, and above
	// the quantile plus slowMarginMs.
	slowFactor   = 2
	slowMarginMs = 5
)

// Measure names the kind of evidence on which a verdict is based.
type Measure string

// The measures of a version.
const (
	MeasureFailures Measure = "failures"
	MeasureLatency  Measure = "latency"
)

// Finding holds the evidence on which a version is stopped.
type Finding struct {
	Route   string
	Measure Measure
	// Old and New are the counts that the judge has compared.
	Old Counts
	New Counts
}

// String describes the finding for operators.
func (f *Finding) String() string {
	return fmt.Sprintf("%s on route %s: new version failed %d of %d, old version %d of %d",
		f.Measure, f.Route, f.New.Failures, f.New.Requests, f.Old.Failures, f.Old.Requests)
}

// Judge compares the versions of one generation of a roll-out. It performs no
// I/O, reads no clock, and is not safe for concurrent use.
type Judge struct {
	shared    bool
	threshold float64
	slices    int
	routes    map[string]*routeTest
	finding   *Finding
}

// routeTest holds the evidence on one route.
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

// newSharedJudge returns a judge whose strata combine several instances.
func newSharedJudge(deadline time.Duration, routes, judges, strata int) *Judge {
	j := NewJudge(deadline, routes, judges, strata)
	j.shared = true
	return j
}

// NewJudge returns a judge for a roll-out with the given deadline. The arguments
// routes and judges are the numbers in the whole fleet, among which FalseAlarm is
// divided; strata is the number of strata that this judge gets samples of. Each
// number counts as at least 1.
func NewJudge(deadline time.Duration, routes, judges, strata int) *Judge {
	tests := max(routes, 1) * measures * max(judges, 1)
	return &Judge{
		threshold: float64(tests) / FalseAlarm,
		slices:    int(deadline/minSliceLength) * max(strata, 1),
		routes:    map[string]*routeTest{},
	}
}

// Sample holds the cumulative counts of one instance on one route.
type Sample struct {
	Instance string
	// Stratum names the instances that are compared as one, such as those of
	// one failure domain.
	Stratum string
	Route   string
	// Step is the step of the roll-out that the instance applies. Requests from
	// before and after a step are not compared with each other.
	Step uint64
	Old  Counts
	New  Counts
}

// Add adds a sample and returns a finding once there is enough evidence, else
// nil. All later calls return the same finding.
func (j *Judge) Add(now time.Time, sample Sample) *Finding {
	if j.finding != nil {
		return j.finding
	}
	test := j.route(sample.Route)
	test.startStep(sample.Step)
	s := test.stratum(sample.Stratum)
	s.addSample(now, sample)
	slice, ended := s.endSlice(now)
	if !ended {
		return nil
	}
	if compared := s.compareSlice(slice); compared.usable() {
		test.add(compared)
	}
	test.extendBaseline(slice.old)
	j.finding = j.evaluate(sample.Route, test)
	return j.finding
}

// Suspected reports whether there is at least some evidence against the new
// version, also when it is not enough for a finding.
func (j *Judge) Suspected() bool {
	threshold := math.Pow(j.threshold, suspicionFraction)
	for _, t := range j.routes {
		if t.failures.value() >= threshold || t.latency.value() >= threshold {
			return true
		}
	}
	return j.finding != nil
}

// slowBucket returns the highest bucket of responses that are not slow on the
// route. It returns false while the baseline has too few responses.
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

func (j *Judge) evaluate(route string, test *routeTest) *Finding {
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

// startStep informs the detectors of a step that is newer than the last one.
func (t *routeTest) startStep(step uint64) {
	if step <= t.step {
		return
	}
	t.step = step
	t.failures.startStep()
	t.latency.startStep()
}

// add updates both detectors with the comparison of one slice.
func (t *routeTest) add(compared sliceComparison) {
	t.old = t.old.Plus(compared.old[len(compared.old)/2])
	t.new = t.new.Plus(compared.new)
	bucket, known := t.slowBucket()
	var failures, slow []contingencyTable
	for _, old := range compared.old {
		failures = append(failures, contingencyTable{
			newRequests: compared.new.Requests,
			oldRequests: old.Requests,
			newEvents:   compared.new.Failures,
			oldEvents:   old.Failures,
		})
		slow = append(slow, contingencyTable{
			newRequests: compared.new.succeeded(),
			oldRequests: old.succeeded(),
			newEvents:   compared.new.slowerThan(bucket),
			oldEvents:   old.slowerThan(bucket),
		})
	}
	t.failures.add(failures...)
	if known {
		t.latency.add(slow...)
	}
}

// slowBucket returns the highest bucket of responses that are not slow, computed
// from the old version's responses in earlier slices. It returns false while the
// baseline has too few responses.
func (t *routeTest) slowBucket() (int, bool) {
	total := t.baseline.succeeded()
	if total < minBaselineResponses {
		return 0, false
	}
	quantileBucket := 0
	for float64(t.baseline.slowerThan(quantileBucket)) > (1-baselineQuantile)*float64(total) {
		quantileBucket++
	}
	bound := max(slowFactor*bucketBound(quantileBucket), bucketBound(quantileBucket)+slowMarginMs)
	return int(math.Ceil(2*math.Log2(bound) - 1e-9)), true
}

// extendBaseline adds the old version's counts and halves the baseline when it
// reaches maxBaselineResponses.
func (t *routeTest) extendBaseline(old Counts) {
	t.baseline = t.baseline.Plus(old)
	if t.baseline.succeeded() < maxBaselineResponses {
		return
	}
	for i := range t.baseline.Latency {
		t.baseline.Latency[i] /= 2
	}
}
