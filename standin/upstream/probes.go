package upstream

import (
	"encoding/json"
	"net/http"
	"time"

	peer "samphireferry.example/ferry/upstream"
)

// maxSamples bounds the history that lagging probes report from.
const maxSamples = 4096

// sample is the state at one time.
type sample struct {
	at       time.Time
	inUse    int
	draining bool
}

// recordSample adds the current state to the history for lagging probes. The caller holds mu.
func (u *Upstream) recordSample(now time.Time) {
	if u.faults.Probes.Lag == 0 {
		u.samples = u.samples[:0]
	}
	if len(u.samples) == maxSamples {
		u.samples = append(u.samples[:0], u.samples[maxSamples/2:]...)
	}
	u.samples = append(u.samples, sample{now, u.inUse, u.draining})
}

// reportedState returns the state that the probes report, and their faults.
func (u *Upstream) reportedState() (sample, ProbeFault) {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := time.Now()
	fault := u.faults.Probes
	if fault.Lag == 0 {
		return sample{now, u.inUse, u.draining}, fault
	}
	u.recordSample(now)
	reported := sample{}
	for _, s := range u.samples {
		if now.Sub(s.at) >= fault.Lag.Std() {
			reported = s
		}
	}
	return reported, fault
}

func (u *Upstream) serveHealth(w http.ResponseWriter, r *http.Request) {
	s, fault := u.reportedState()
	if fault.Silent {
		<-r.Context().Done()
		return
	}
	if fault.Health == "failed" {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, peer.HealthReport{Draining: s.draining, Cold: u.isCold()})
}

func (u *Upstream) serveLoad(w http.ResponseWriter, r *http.Request) {
	s, fault := u.reportedState()
	if fault.Silent {
		<-r.Context().Done()
		return
	}
	load := 0.0
	if u.options.Slots > 0 {
		load = float64(s.inUse) / float64(u.options.Slots)
	}
	if fault.Load != nil {
		load = *fault.Load
	}
	writeJSON(w, peer.LoadReport{Load: load})
}

func (u *Upstream) serveLedger(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, u.ledger.Snapshot())
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
