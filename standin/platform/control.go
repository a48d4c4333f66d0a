package platform

import (
	"net/http"

	"samphireferry.example/ferry/platform"
)

// Paths that control the stand-in itself.
const (
	PathFaults        = "/standin/faults"
	PathCalls         = "/standin/calls"
	PathTrueInstances = "/standin/instances"
)

func (p *Platform) registerControl(mux *http.ServeMux) {
	mux.HandleFunc("GET "+PathFaults, p.serveFaults)
	mux.HandleFunc("PUT "+PathFaults, p.serveSetFaults)
	mux.HandleFunc("GET "+PathCalls, p.serveCalls)
	mux.HandleFunc("GET "+PathTrueInstances, p.serveTrueInstances)
	mux.HandleFunc("PUT "+PathTrueInstances, p.serveSetInstances)
}

func (p *Platform) serveFaults(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, p.Faults())
}

func (p *Platform) serveSetFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := readJSON(r, &faults); err != nil {
		badRequest(w, err)
		return
	}
	p.SetFaults(faults)
	writeJSON(w, http.StatusOK, faults)
}

func (p *Platform) serveCalls(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, p.Calls())
}

func (p *Platform) serveTrueInstances(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, platform.InstancesBody{Instances: p.TrueInstances()})
}

func (p *Platform) serveSetInstances(w http.ResponseWriter, r *http.Request) {
	var body platform.InstancesBody
	if err := readJSON(r, &body); err != nil {
		badRequest(w, err)
		return
	}
	p.SetInstances(body.Instances)
	writeJSON(w, http.StatusOK, body)
}
