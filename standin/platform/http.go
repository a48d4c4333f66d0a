package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"

	"samphireferry.example/ferry/platform"
)

// maxBodyBytes bounds a request body: a value in base64 and its envelope.
const maxBodyBytes = 2*platform.MaxValueBytes + 4096

// Handler serves the HTTP interface of the platform and of the stand-in.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.PathEntry, p.serveGet)
	mux.HandleFunc("PUT "+platform.PathEntry, p.serveSwap)
	mux.HandleFunc("DELETE "+platform.PathEntry, p.serveDelete)
	mux.HandleFunc("GET "+platform.PathEntries, p.serveList)
	mux.HandleFunc("GET "+platform.PathWatch, p.serveWatch)
	mux.HandleFunc("POST "+platform.PathLeases, p.serveGrant)
	mux.HandleFunc("PUT "+platform.PathLeases, p.serveKeepAlive)
	mux.HandleFunc("DELETE "+platform.PathLeases, p.serveRevoke)
	mux.HandleFunc("GET "+platform.PathInstances, p.serveInstances)
	p.handleControl(mux)
	return mux
}

func (p *Platform) serveGet(w http.ResponseWriter, r *http.Request) {
	entry, err := p.Get(r.Context(), r.FormValue(platform.ParamKey))
	answer(w, platform.EntryBody(entry), err)
}

func (p *Platform) serveSwap(w http.ResponseWriter, r *http.Request) {
	var body platform.WriteBody
	if err := readJSON(r, &body); err != nil {
		badRequest(w, err)
		return
	}
	key := r.FormValue(platform.ParamKey)
	revision, err := p.CompareAndSwap(r.Context(), key, body.Value, body.Expected, body.Lease)
	answer(w, platform.WrittenBody{Revision: revision}, err)
}

func (p *Platform) serveDelete(w http.ResponseWriter, r *http.Request) {
	expected, err := number(r, platform.ParamExpected)
	if err != nil {
		badRequest(w, err)
		return
	}
	err = p.Delete(r.Context(), r.FormValue(platform.ParamKey), platform.Revision(expected))
	answer(w, platform.WrittenBody{}, err)
}

func (p *Platform) serveList(w http.ResponseWriter, r *http.Request) {
	entries, revision, err := p.List(r.Context(), r.FormValue(platform.ParamPrefix))
	answer(w, entriesBody(entries, revision), err)
}

func (p *Platform) serveWatch(w http.ResponseWriter, r *http.Request) {
	after, err := number(r, platform.ParamAfter)
	if err != nil {
		badRequest(w, err)
		return
	}
	wait, err := time.ParseDuration(r.FormValue(platform.ParamWait))
	if err != nil {
		badRequest(w, err)
		return
	}
	entries, revision, err := p.Watch(r.Context(), r.FormValue(platform.ParamPrefix), platform.Revision(after), wait)
	answer(w, entriesBody(entries, revision), err)
}

func (p *Platform) serveGrant(w http.ResponseWriter, r *http.Request) {
	var body platform.LeaseBody
	if err := readJSON(r, &body); err != nil {
		badRequest(w, err)
		return
	}
	ttl, err := time.ParseDuration(body.TTL)
	if err != nil || ttl <= 0 {
		badRequest(w, errors.Newf("%q is not the duration of a lease", body.TTL))
		return
	}
	id, err := p.GrantLease(r.Context(), ttl)
	answer(w, platform.LeaseBody{ID: id}, err)
}

func (p *Platform) serveKeepAlive(w http.ResponseWriter, r *http.Request) {
	id, err := number(r, platform.ParamLease)
	if err != nil {
		badRequest(w, err)
		return
	}
	answer(w, platform.LeaseBody{ID: platform.LeaseID(id)}, p.KeepAlive(r.Context(), platform.LeaseID(id)))
}

func (p *Platform) serveRevoke(w http.ResponseWriter, r *http.Request) {
	id, err := number(r, platform.ParamLease)
	if err != nil {
		badRequest(w, err)
		return
	}
	answer(w, platform.LeaseBody{ID: platform.LeaseID(id)}, p.RevokeLease(r.Context(), platform.LeaseID(id)))
}

func (p *Platform) serveInstances(w http.ResponseWriter, r *http.Request) {
	rows, err := p.Instances(r.Context())
	answer(w, platform.InstancesBody{Instances: rows}, err)
}

// answer writes the body, or the error answer that belongs to err. It closes
// the connection when the answer is lost.
func answer(w http.ResponseWriter, body any, err error) {
	if err == nil {
		writeJSON(w, http.StatusOK, body)
		return
	}
	if errors.Is(err, errAnswerLost) {
		panic(http.ErrAbortHandler)
	}
	status, code := platform.StatusOf(err)
	writeJSON(w, status, platform.ErrorBody{Code: code, Message: err.Error()})
}

func badRequest(w http.ResponseWriter, err error) {
	writeJSON(w, http.StatusBadRequest, platform.ErrorBody{Code: platform.CodeBadRequest, Message: err.Error()})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error here means that the caller is gone.
	_ = json.NewEncoder(w).Encode(body)
}

func readJSON(r *http.Request, into any) error {
	decoder := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	return decoder.Decode(into)
}

func number(r *http.Request, name string) (int64, error) {
	value, err := strconv.ParseInt(r.FormValue(name), 10, 64)
	return value, errors.Wrapf(err, "parameter %s", name)
}

func entriesBody(entries []platform.Entry, revision platform.Revision) platform.EntriesBody {
	bodies := lo.Map(entries, func(e platform.Entry, _ int) platform.EntryBody { return platform.EntryBody(e) })
	return platform.EntriesBody{Entries: bodies, Revision: revision}
}
