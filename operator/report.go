package operator

import (
	"cmp"
	"slices"
	"time"

	"samphireferry.example/ferry/config/dynamic"
)

// CutOffAge is the age of the newest update from the store above which an
// instance counts as cut off.
const CutOffAge = 10 * time.Second

// InstanceState is the state of an instance with regard to a version.
type InstanceState string

// The states of an instance in a report.
const (
	// StateInForce means that the version, or a newer one, is in force.
	StateInForce InstanceState = "in_force"
	// StateBehind means that an older version is in force and the instance is not
	// cut off from the store.
	StateBehind InstanceState = "behind"
	// StateCutOff means that an older version is in force and the instance is cut
	// off from the store.
	StateCutOff InstanceState = "cut_off"
	// StateUnreachable means that the instance returned no status.
	StateUnreachable InstanceState = "unreachable"
)

// Probe is the result of fetching the status of one instance.
type Probe struct {
	Name          string
	FailureDomain string
	Leaving       bool
	// Status is nil if it could not be fetched; Err is the reason.
	Status *InstanceStatus
	Err    error
}

// InstanceReport is one instance in a report.
type InstanceReport struct {
	Name           string        `json:"name"`
	FailureDomain  string        `json:"failure_domain"`
	State          InstanceState `json:"state"`
	ConfigVersion  uint64        `json:"config_version"`
	StoreAgeMillis int64         `json:"store_age_ms"`
	// CutOff is set when the instance has never received an update from the store,
	// or the newest is older than CutOffAge, even if the version is in force on it.
	CutOff  bool   `json:"cut_off"`
	Leaving bool   `json:"leaving"`
	Error   string `json:"error,omitempty"`
}

// ShiftReport is one move or roll-out in a report.
type ShiftReport struct {
	ShiftStatus
	// Behind lists the names of instances that are not known to have the newest
	// step.
	Behind []string `json:"behind,omitempty"`
}

// KeyReport is one withdrawn key in a report.
type KeyReport struct {
	Name string `json:"name"`
	// NotYet lists the names of instances on which the withdrawal is not known to
	// be in force.
	NotYet []string `json:"not_yet,omitempty"`
}

// Report lists for all instances whether a version is in force.
type Report struct {
	Version uint64 `json:"version"`
	// InForce is set when the version is in force on every instance.
	InForce       bool             `json:"in_force"`
	Instances     []InstanceReport `json:"instances"`
	Moves         []ShiftReport    `json:"moves,omitempty"`
	Rollouts      []ShiftReport    `json:"rollouts,omitempty"`
	WithdrawnKeys []KeyReport      `json:"withdrawn_keys,omitempty"`
}

// NewReport builds the report on a version from the probes of all instances.
// The set, which may be nil, contains the withdrawn keys to report on.
func NewReport(version uint64, set *dynamic.Set, probes []Probe) *Report {
	probes = slices.SortedFunc(slices.Values(probes), func(a, b Probe) int {
		return cmp.Or(cmp.Compare(a.FailureDomain, b.FailureDomain), cmp.Compare(a.Name, b.Name))
	})
	r := &Report{Version: version, InForce: version > 0 && len(probes) > 0}
	for _, probe := range probes {
		instance := reportInstance(version, probe)
		r.InForce = r.InForce && instance.State == StateInForce
		r.Instances = append(r.Instances, instance)
	}
	r.Moves = reportShifts(probes, func(s *InstanceStatus) []ShiftStatus { return s.Moves })
	r.Rollouts = reportShifts(probes, func(s *InstanceStatus) []ShiftStatus { return s.Rollouts })
	r.WithdrawnKeys = reportKeys(set, probes)
	return r
}

func reportInstance(version uint64, probe Probe) InstanceReport {
	r := InstanceReport{
		Name:          probe.Name,
		FailureDomain: probe.FailureDomain,
		Leaving:       probe.Leaving,
		State:         StateUnreachable,
	}
	if probe.Err != nil {
		r.Error = probe.Err.Error()
	}
	status := probe.Status
	if status == nil {
		return r
	}
	r.ConfigVersion = status.ConfigVersion
	r.StoreAgeMillis = status.StoreAgeMillis
	r.Leaving = r.Leaving || status.Leaving
	r.CutOff = !status.StoreHeard || status.StoreAgeMillis > CutOffAge.Milliseconds()
	switch {
	case status.ConfigVersion >= version:
		r.State = StateInForce
	case r.CutOff:
		r.State = StateCutOff
	default:
		r.State = StateBehind
	}
	return r
}

// reportShifts returns the newest step of each shift and the names of the
// instances that have an older one or returned no status.
func reportShifts(probes []Probe, shifts func(*InstanceStatus) []ShiftStatus) []ShiftReport {
	newest := map[string]ShiftStatus{}
	steps := map[string]map[string]uint64{}
	for _, probe := range probes {
		if probe.Status == nil {
			continue
		}
		steps[probe.Name] = map[string]uint64{}
		for _, shift := range shifts(probe.Status) {
			steps[probe.Name][shift.Name] = shift.Step
			if known, ok := newest[shift.Name]; !ok || shift.Step > known.Step {
				newest[shift.Name] = shift
			}
		}
	}
	var reports []ShiftReport
	for _, shift := range newest {
		report := ShiftReport{ShiftStatus: shift}
		for _, probe := range probes {
			if steps[probe.Name][shift.Name] < shift.Step {
				report.Behind = append(report.Behind, probe.Name)
			}
		}
		reports = append(reports, report)
	}
	slices.SortFunc(reports, func(a, b ShiftReport) int { return cmp.Compare(a.Name, b.Name) })
	return reports
}

func reportKeys(set *dynamic.Set, probes []Probe) []KeyReport {
	if set == nil {
		return nil
	}
	var reports []KeyReport
	for _, key := range set.Keys {
		if !key.Withdrawn {
			continue
		}
		report := KeyReport{Name: key.Name}
		for _, probe := range probes {
			if probe.Status == nil || !slices.Contains(probe.Status.WithdrawnKeys, key.Name) {
				report.NotYet = append(report.NotYet, probe.Name)
			}
		}
		reports = append(reports, report)
	}
	return reports
}
