package upstream

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"samphireferry.example/ferry/units"
)

// FaultKind is what goes wrong with a request.
type FaultKind string

// The faults of a request.
const (
	// FaultStatus runs the request and answers with Fault.Status.
	FaultStatus FaultKind = "status"
	// FaultSlow runs the request and answers after Fault.Delay.
	FaultSlow FaultKind = "slow"
	// FaultSilent never runs and never answers.
	FaultSilent FaultKind = "silent"
	// FaultDropBefore closes the connection without running the request.
	FaultDropBefore FaultKind = "drop_before"
	// FaultDropAfter runs the request and closes the connection unanswered.
	FaultDropAfter FaultKind = "drop_after"
	// FaultTruncate runs the request and cuts the answer in its middle.
	FaultTruncate FaultKind = "truncate"
	// FaultNoLength answers without a length and closes the connection early.
	FaultNoLength FaultKind = "no_length"
	// FaultCrossed answers with the answer to the previous request.
	FaultCrossed FaultKind = "crossed"
	// FaultNoEcho answers without the request id.
	FaultNoEcho FaultKind = "no_echo"
	// FaultShed refuses the request unrun.
	FaultShed FaultKind = "shed"
)

// Fault is one fault with the condition under which it strikes.
type Fault struct {
	Kind   FaultKind      `json:"kind"`
	Status int            `json:"status,omitempty"`
	Delay  units.Duration `json:"delay,omitempty"`
	// PathPrefix limits the fault to paths with the prefix.
	PathPrefix string `json:"path_prefix,omitempty"`
	// After is the time from the setting of the fault until it strikes.
	After units.Duration `json:"after,omitempty"`
	// AboveUse limits the fault to times when more of the slots is in use.
	AboveUse units.Share `json:"above_use,omitempty"`
	// Every strikes each nth request only. 0 means all.
	Every int `json:"every,omitempty"`
	// Times bounds the number of requests hit. 0 means no bound.
	Times int `json:"times,omitempty"`
}

// ProbeFault makes the probes lag or mislead.
type ProbeFault struct {
	// Lag is the age of the state that the probes report.
	Lag units.Duration `json:"lag,omitempty"`
	// Health replaces the reported health: "ok" or "failed".
	Health string `json:"health,omitempty"`
	// Load replaces the reported used part of the slots.
	Load *float64 `json:"load,omitempty"`
	// Silent leaves probes without an answer.
	Silent bool `json:"silent,omitempty"`
}

// Faults are all faults of a stand-in. The zero value has none.
type Faults struct {
	Requests []Fault    `json:"requests,omitempty"`
	Probes   ProbeFault `json:"probes"`
	Draining bool       `json:"draining,omitempty"`
}

// activeFaults are the faults that strike one request.
type activeFaults []Fault

func (a activeFaults) has(kind FaultKind) bool {
	_, ok := a.find(kind)
	return ok
}

func (a activeFaults) find(kind FaultKind) (Fault, bool) {
	for _, f := range a {
		if f.Kind == kind {
			return f, true
		}
	}
	return Fault{}, false
}

func (a activeFaults) delay() time.Duration {
	f, _ := a.find(FaultSlow)
	return f.Delay.Std()
}

// SetFaults replaces all faults.
func (u *Upstream) SetFaults(faults Faults) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.faults = faults
	u.faultsAt = time.Now()
	u.hits = make([]int, len(faults.Requests))
	u.draining = faults.Draining
}

func (u *Upstream) serveFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	u.SetFaults(faults)
	w.WriteHeader(http.StatusNoContent)
}

// faultsFor returns the faults that strike the request.
func (u *Upstream) faultsFor(r *http.Request) activeFaults {
	u.mu.Lock()
	defer u.mu.Unlock()
	var active activeFaults
	for i, f := range u.faults.Requests {
		if !u.meets(f, r) {
			continue
		}
		u.hits[i]++
		if f.strikes(u.hits[i]) {
			active = append(active, f)
		}
	}
	return active
}

// meets says whether the request and the moment fulfil the conditions.
func (u *Upstream) meets(f Fault, r *http.Request) bool {
	if !strings.HasPrefix(r.URL.Path, f.PathPrefix) {
		return false
	}
	if time.Since(u.faultsAt) < f.After.Std() {
		return false
	}
	return f.AboveUse == 0 || u.use() > float64(f.AboveUse)
}

func (f Fault) strikes(hit int) bool {
	if f.Every > 1 {
		if hit%f.Every != 0 {
			return false
		}
		hit /= f.Every
	}
	return f.Times == 0 || hit <= f.Times
}

// use returns the used part of the slots.
func (u *Upstream) use() float64 {
	if u.options.Slots == 0 {
		return 0
	}
	return float64(u.inUse) / float64(u.options.Slots)
}
