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

// maxBodyBytes bounds the size of a request body: a value in base64 and its envelope.
const maxBodyBytes = 2*platform.MaxValueBytes + 4096

// Handler returns a handler for the HTTP interface of the platform and of the stand-in.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.PathKey, p.serveGet)
	mux.HandleFunc("GET "+platform.PathRange, p.serveRange)
	mux.HandleFunc("GET "+platform.PathWatch, p.serveWatch)
	mux.HandleFunc("POST "+platform.PathTransaction, p.serveTransaction)
	mux.HandleFunc("POST "+platform.PathLease, p.serveGrant)
	mux.HandleFunc("POST "+platform.PathKeepAlive+"{lease}", p.serveKeepAlive)
	mux.HandleFunc("DELETE "+platform.PathLeaseEnd+"{lease}", p.serveRevoke)
	mux.HandleFunc("GET "+platform.PathInstances, p.serveInstances)
	p.registerControl(mux)
	return p.withEra(mux)
}

func (p *Platform) serveGet(w http.ResponseWriter, r *http.Request) {
	entry, err := p.Get(r.Context(), r.FormValue(platform.ParamKey))
	respond(w, itemBody(entry), err)
}

// serveRange responds with all keys in one page.
func (p *Platform) serveRange(w http.ResponseWriter, r *http.Request) {
	entries, revision, err := p.List(r.Context(), r.FormValue(platform.ParamPrefix))
	respond(w, platform.RangeBody{Items: itemBodies(entries), CurrentRev: int64(revision)}, err)
}

// serveTransaction accepts the transactions that the client sends: one condition with a
// write or a removal of the same key.
func (p *Platform) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var body platform.TransactionBody
	if err := readJSON(r, &body); err != nil {
		badRequest(w, err)
		return
	}
	if len(body.Conditions) != 1 || len(body.Writes)+len(body.Removes) != 1 {
		badRequest(w, errors.New("the stand-in accepts only one condition with one write or removal"))
		return
	}
	condition := body.Conditions[0]
	var revision platform.Revision
	var err error
	if len(body.Writes) == 1 {
		write := body.Writes[0]
		revision, err = p.CompareAndSwap(r.Context(), condition.Key, write.Value, platform.Revision(condition.Rev), write.Lease)
	} else {
		err = p.Delete(r.Context(), condition.Key, platform.Revision(condition.Rev))
	}
	respond(w, platform.TransactionResultBody{Rev: int64(revision)}, err)
}

func (p *Platform) serveWatch(w http.ResponseWriter, r *http.Request) {
	after, err := parseNumber(r.FormValue(platform.ParamAfter))
	if err != nil {
		badRequest(w, err)
		return
	}
	millis, err := parseNumber(r.FormValue(platform.ParamWait))
	if err != nil {
		badRequest(w, err)
		return
	}
	wait := time.Duration(millis) * time.Millisecond
	entries, revision, err := p.Watch(r.Context(), r.FormValue(platform.ParamPrefix), platform.Revision(after), wait)
	respond(w, platform.WatchBody{Events: itemBodies(entries), CurrentRev: int64(revision)}, err)
}

func (p *Platform) serveGrant(w http.ResponseWriter, r *http.Request) {
	var body platform.LeaseBody
	if err := readJSON(r, &body); err != nil {
		badRequest(w, err)
		return
	}
	if body.TTLMillis <= 0 {
		badRequest(w, errors.Newf("%d ms is not the duration of a lease", body.TTLMillis))
		return
	}
	id, err := p.GrantLease(r.Context(), time.Duration(body.TTLMillis)*time.Millisecond)
	respond(w, platform.LeaseBody{ID: id, TTLMillis: body.TTLMillis}, err)
}

func (p *Platform) serveKeepAlive(w http.ResponseWriter, r *http.Request) {
	id, err := parseNumber(r.PathValue("lease"))
	if err != nil {
		badRequest(w, err)
		return
	}
	respond(w, platform.LeaseBody{ID: platform.LeaseID(id)}, p.KeepAlive(r.Context(), platform.LeaseID(id)))
}

func (p *Platform) serveRevoke(w http.ResponseWriter, r *http.Request) {
	id, err := parseNumber(r.PathValue("lease"))
	if err != nil {
		badRequest(w, err)
		return
	}
	respond(w, platform.LeaseBody{ID: platform.LeaseID(id)}, p.RevokeLease(r.Context(), platform.LeaseID(id)))
}

func (p *Platform) serveInstances(w http.ResponseWriter, r *http.Request) {
	rows, err := p.Instances(r.Context())
	respond(w, platform.InstancesBody{Instances: rows}, err)
}

// respond writes the body, or the error response for err. It closes the connection when
// the response is lost.
func respond(w http.ResponseWriter, body any, err error) {
	if err == nil {
		writeJSON(w, http.StatusOK, body)
		return
	}
	if errors.Is(err, errResponseLost) {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, platform.StatusOf(err), errorBody{Message: err.Error()})
}

// errorBody is the body of every error response.
type errorBody struct {
	Message string `json:"message"`
}

func badRequest(w http.ResponseWriter, err error) {
	writeJSON(w, http.StatusBadRequest, errorBody{Message: err.Error()})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error here means that the caller has disconnected.
	_ = json.NewEncoder(w).Encode(body)
}

func readJSON(r *http.Request, into any) error {
	decoder := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	return decoder.Decode(into)
}

func parseNumber(text string) (int64, error) {
	value, err := strconv.ParseInt(text, 10, 64)
	return value, errors.Wrap(err, "number in the request")
}

func itemBody(entry platform.Entry) platform.ItemBody {
	return platform.ItemBody{Key: entry.Key, Value: entry.Value, Rev: int64(entry.Revision), Deleted: entry.Deleted}
}

func itemBodies(entries []platform.Entry) []platform.ItemBody {
	return lo.Map(entries, func(e platform.Entry, _ int) platform.ItemBody { return itemBody(e) })
}
