package upstream

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"samphireferry.example/ferry/platform/headers"
	"samphireferry.example/ferry/units"
)

// FaultKind is the kind of a fault that applies to requests.
type FaultKind string

// Kinds of faults.
const (
	// FaultStatus runs the request and responds with Fault.Status.
	FaultStatus FaultKind = "status"
	// FaultSlow runs the request and responds after Fault.Delay.
	FaultSlow FaultKind = "slow"
	// FaultSilent neither runs the request nor responds.
	FaultSilent FaultKind = "silent"
	// FaultDropBefore closes the connection without running the request.
	FaultDropBefore FaultKind = "drop_before"
	// FaultDropAfter runs the request and closes the connection without a response.
	FaultDropAfter FaultKind = "drop_after"
	// FaultTruncate runs the request and truncates the response halfway.
	FaultTruncate FaultKind = "truncate"
	// FaultNoLength runs the request, responds without a length and closes the
	// connection halfway.
	FaultNoLength FaultKind = "no_length"
	// FaultCrossed runs the request and sends the response to the previous request.
	FaultCrossed FaultKind = "crossed"
	// FaultNoEcho runs the request and responds without the request ID.
	FaultNoEcho FaultKind = "no_echo"
	// FaultShed sheds the request without running it.
	FaultShed FaultKind = "shed"
)

// Fault is one fault with the conditions under which it applies to a request.
type Fault struct {
	Kind FaultKind `json:"kind"`
	// Status is the HTTP status of FaultStatus.
	Status int `json:"status,omitempty"`
	// Delay is the additional service time of FaultSlow.
	Delay units.Duration `json:"delay,omitempty"`
	// PathPrefix limits the fault to paths with the prefix.
	PathPrefix string `json:"path_prefix,omitempty"`
	// After is the time from the setting of the fault until it applies.
	After units.Duration `json:"after,omitempty"`
	// AboveUse limits the fault to times when a larger fraction of the slots is in use. 0
	// means no limit.
	AboveUse units.Share `json:"above_use,omitempty"`
	// Every applies the fault to every nth matching request only. 0 means all.
	Every int `json:"every,omitempty"`
	// Times bounds the number of requests that the fault applies to. 0 means no limit.
	Times int `json:"times,omitempty"`
}

// ProbeFault makes the responses to probes outdated, wrong or absent.
type ProbeFault struct {
	// Lag is the age of the state that the probes report.
	Lag units.Duration `json:"lag,omitempty"`
	// Health overrides the reported health: "ok" or "failed".
	Health string `json:"health,omitempty"`
	// Load overrides the reported fraction of the slots in use.
	Load *float64 `json:"load,omitempty"`
	// Silent leaves probes without a response.
	Silent bool `json:"silent,omitempty"`
}

// Faults holds all faults of a stand-in. The zero value has none.
type Faults struct {
	Requests []Fault    `json:"requests,omitempty"`
	Probes   ProbeFault `json:"probes"`
	Draining bool       `json:"draining,omitempty"`
	// RateLimit is the rate that the responses state, in requests per second from all
	// entry instances together. 0 states none.
	RateLimit float64 `json:"rate_limit,omitempty"`
	// StatesLeaving makes the responses carry Server-Leaving while the stand-in drains.
	StatesLeaving bool `json:"states_leaving,omitempty"`
	// RetryAfter is the time that refusals state until the next request. 0 states none.
	RetryAfter units.Duration `json:"retry_after,omitempty"`
}

// activeFaults holds the faults that apply to one request.
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

// SetFaults replaces all faults and the draining state, and restarts the counts and the
// time of their conditions.
func (u *Upstream) SetFaults(faults Faults) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.faults = faults
	u.faultsSetAt = time.Now()
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

// stateConditions sets the headers that state Faults.RateLimit and that the stand-in leaves.
func (u *Upstream) stateConditions(h http.Header) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.faults.RateLimit > 0 {
		h.Set(headers.RateLimit, strconv.FormatFloat(u.faults.RateLimit, 'f', -1, 64))
	}
	if u.draining && u.faults.StatesLeaving {
		h.Set(headers.Leaving, "1")
	}
}

// stateRetryAfter sets the header that states Faults.RetryAfter.
func (u *Upstream) stateRetryAfter(h http.Header) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.faults.RetryAfter > 0 {
		h.Set(headers.RetryAfter, strconv.FormatFloat(u.faults.RetryAfter.Std().Seconds(), 'f', -1, 64))
	}
}

// faultsFor counts the request for each fault that it matches and returns the faults
// that apply to it.
func (u *Upstream) faultsFor(r *http.Request) activeFaults {
	u.mu.Lock()
	defer u.mu.Unlock()
	var active activeFaults
	for i, f := range u.faults.Requests {
		if !u.matches(f, r) {
			continue
		}
		u.hits[i]++
		if f.applies(u.hits[i]) {
			active = append(active, f)
		}
	}
	return active
}

// matches reports whether the request matches the fault's path, time and utilization now.
func (u *Upstream) matches(f Fault, r *http.Request) bool {
	if !strings.HasPrefix(r.URL.Path, f.PathPrefix) {
		return false
	}
	if time.Since(u.faultsSetAt) < f.After.Std() {
		return false
	}
	return f.AboveUse == 0 || u.utilization() > float64(f.AboveUse)
}

// applies reports whether the fault applies to its nth matching request.
func (f Fault) applies(hit int) bool {
	if f.Every > 1 {
		if hit%f.Every != 0 {
			return false
		}
		hit /= f.Every
	}
	return f.Times == 0 || hit <= f.Times
}

// utilization returns the fraction of the slots in use; 0 without slots.
func (u *Upstream) utilization() float64 {
	if u.options.Slots == 0 {
		return 0
	}
	return float64(u.inUse) / float64(u.options.Slots)
}
