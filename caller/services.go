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

// Tables gives the newest routing table, or nil when there is none yet.
type Tables interface {
	Table() *routing.Table
}

// Admitter decides whether a customer is within its rate and burst.
type Admitter interface {
	// Admit returns nil, or an error of the kinds RateExceeded and
	// ShareUnconfirmed. It may wait for a short time.
	Admit(ctx context.Context, customer *routing.Customer) error
}

// Freshness tells how old the word from the platform's store is.
type Freshness interface {
	// StoreAge returns the time since word from the store arrived by any path.
	StoreAge() time.Duration
}

// Dispatcher carries a request to an upstream.
type Dispatcher interface {
	Dispatch(ctx context.Context, request *dispatch.Request) (*dispatch.Answer, error)
}

// Claims claims idempotency keys at their homes.
type Claims interface {
	// Claim returns the right to dispatch the request once, or the recorded
	// answer of an earlier attempt, or an error with an error kind.
	Claim(ctx context.Context, customer *routing.Customer, key requestkeys.Key, fingerprint []byte) (Claim, *Recorded, error)
}

// Claim is the right to dispatch one request once. Exactly one of its methods
// is called.
type Claim interface {
	// NotRun gives the right back: no upstream has received the request.
	NotRun()
	// Ran records the answer.
	Ran(recorded *Recorded)
	// Unknown records that the request may have run.
	Unknown()
}

// Recorded is the recorded answer of a request that ran.
type Recorded struct {
	Status int
	Header http.Header
	Body   []byte
	// BodyOmitted is set when the body was too large to record.
	BodyOmitted bool
}

// EntryInstances lists the entry instances that a caller should use.
type EntryInstances interface {
	EntryInstances(address netip.Addr) EntryInstanceList
}

// EntryInstanceList is the answer of GET /v1/entry-instances.
type EntryInstanceList struct {
	// TTLSeconds is the time for which the list may be used.
	TTLSeconds int `json:"ttl_seconds" doc:"Seconds for which the list may be used."`
	// Home is the first part of the idempotency keys to use now.
	Home string `json:"home" doc:"First part of idempotency keys: <home>.<unique>."`
	// Leaving is set while the instance that answers is shutting down.
	Leaving bool `json:"leaving" doc:"Set while the entry instance that answers is shutting down."`
	// Instances are in the order in which they should be tried.
	Instances []EntryInstance `json:"entry_instances" doc:"Entry instances in the order in which they should be tried."`
}

// EntryInstance is one row of the list.
type EntryInstance struct {
	Address       string `json:"address" doc:"IP address and port for requests."`
	FailureDomain string `json:"failure_domain" doc:"Failure domain of the instance."`
	Region        string `json:"region" doc:"Region of the instance."`
}
