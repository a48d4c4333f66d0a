// Package requestkeys ensures that a request with an idempotency key runs at
// most once, without a store.
//
// # Keys and homes
//
// A key is "<home>.<unique>". The home identifies an entry instance: callers
// read it from the list of entry instances and choose the unique part. Every
// instance that receives a request of an at-most-once route claims the key at
// its home before dispatch. The home grants a claim to one claimant, which is
// an attempt with its own id, and records it:
//
//	           Claim                   Complete(RAN)
//	(none) ───────────► in progress ──────────────────► done
//	   ▲                  │      │   Complete(OUTCOME_UNKNOWN), or
//	   │ Complete(NOT_RUN)│      │   the claimant's deadline passes
//	   └───────released◄──┘      └────────────────────► unknown
//
// A repeat of the request gets the recorded response, or a refusal which states
// that the first attempt is still in progress or that its outcome is unknown.
// Only the claimant itself can release the key, by reporting that the request
// has not run and will not run. Messages may be lost, repeated and reordered: a
// repeated Claim of the same claimant gets the same result, a claimant that has
// released the key is never granted it again, even if its Claim arrives after
// its Complete, and the first of two contradicting Complete messages applies.
//
// Keys are scoped to the customer that uses them: the same text used by
// another customer is a different key.
//
// # Retention
//
// A home cannot keep claims indefinitely, and a key whose claim was dropped must
// not run again. Therefore the home's name contains the time slot in which it
// was issued: "<incarnation>~<slot>". Slots last SlotLength by the home's
// clock; clocks of other machines do not matter. A key is granted from the
// start of its slot until AcceptFor after its end, and its claim is kept until
// KeepFor after its end. In between, a key without a claim is refused with the
// state Expired, which guarantees that it has not run. After that, the state
// is UNKNOWN. With the defaults a key can be used for 5 to 10 minutes after
// its home was obtained, and its outcome can be queried for 10 to 15 minutes.
//
// When the home has no capacity left, it refuses new claims (FULL, not run) and
// drops none. Bodies of recorded responses that are too large, or exceed the
// remaining capacity, are omitted together with the headers; the status is kept.
//
// # A home that leaves
//
// A leaving home copies its claims to a peer, preferably of its failure
// domain, in messages of bounded size while it continues to serve. Then it
// stops granting, sends what has changed meanwhile, commits, and sends the last
// message with a digest of all claims. From the commit on it responds with
// NOT_HOME and names the peer; it never serves again, whether or not the last
// message arrives. The peer serves only after a last message whose digest
// matches all claims that it was sent. So at most one of them grants keys. A
// copy that fails before the commit is abandoned and the home continues to serve
// until it exits. A peer that refuses the last message has discarded the copy,
// and another peer may be tried; if the response to the last message is lost, no
// other peer is tried, and the keys may be refused because their home is gone.
//
// The claims of a home that crashes are lost. Its keys are refused with
// errkind.IdempotencyHomeGone, whose outcome is unknown; the attempt itself is
// not sent.
//
// # Limits
//
// The fingerprint covers the route, method, path, query and the headers that
// describe the body, not the body, which is streamed.
//
// A Home does no I/O and takes the time as an argument. Service adds a lock,
// a clock and the gRPC methods; Resolver is the claimant's side.
package requestkeys
