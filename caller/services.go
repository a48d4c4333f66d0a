package caller

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"samphireferry.example/ferry/dispatch"
	"samphireferry.example/ferry/requestkeys"
	"samphireferry.example/ferry/routing"
)

// TableSource provides the current routing table, or nil if there is none yet.
type TableSource interface {
	Table() *routing.Table
}

// Admitter decides whether a request is within its customer's rate and burst.
type Admitter interface {
	// Admit returns nil, or an error of the kinds RateExceeded and
	// ShareUnconfirmed. It may block briefly.
	Admit(ctx context.Context, customer *routing.Customer) error
}

// StoreAgeSource reports the age of the latest update from the platform's store.
type StoreAgeSource interface {
	// StoreAge returns the time since an update from the store was last received,
	// over any path.
	StoreAge() time.Duration
}

// Dispatcher sends a request to an upstream.
type Dispatcher interface {
	Dispatch(ctx context.Context, request *dispatch.Request) (*dispatch.Response, error)
}

// Claimer claims idempotency keys at their homes.
type Claimer interface {
	// Claim returns the right to dispatch the request once, or the recorded
	// response of an earlier attempt, or an error with an error kind.
	Claim(ctx context.Context, customer *routing.Customer, key requestkeys.Key, fingerprint []byte) (Claim, *RecordedResponse, error)
}

// Claim is the right to dispatch one request once. Exactly one of its methods
// is called.
type Claim interface {
	// NotRun releases the key: no upstream has received the request.
	NotRun()
	// Ran records the response.
	Ran(recorded *RecordedResponse)
	// Unknown records that the request may have run.
	Unknown()
}

// RecordedResponse is the recorded response of a request that ran.
type RecordedResponse struct {
	Status int
	Header http.Header
	Body   []byte
	// BodyOmitted is set if the body was not recorded because of its size.
	BodyOmitted bool
}

// EntryInstances lists the entry instances that the caller at an address should
// use.
type EntryInstances interface {
	EntryInstances(address netip.Addr) EntryInstanceList
}

// EntryInstanceList is the response of GET /v1/entry-instances.
type EntryInstanceList struct {
	// TTLSeconds is how long the list may be used, in seconds.
	TTLSeconds int `json:"ttl_seconds" doc:"Seconds for which the list may be used."`
	// Home is the first part of the idempotency keys to use now.
	Home string `json:"home" doc:"First part of idempotency keys: <home>.<unique>."`
	// Leaving is set while the responding instance is shutting down.
	Leaving bool `json:"leaving" doc:"Set while the entry instance that answers is shutting down."`
	// Instances are in the order in which they should be tried.
	Instances []EntryInstance `json:"entry_instances" doc:"Entry instances in the order in which they should be tried."`
}

// EntryInstance is one entry of an EntryInstanceList.
type EntryInstance struct {
	Address       string `json:"address" doc:"IP address and port for requests."`
	FailureDomain string `json:"failure_domain" doc:"Failure domain of the instance."`
	Region        string `json:"region" doc:"Region of the instance."`
}
