// Package requestkeys makes a request with an idempotency key run at most
// once, without a store.
//
// # Keys and homes
//
// A key is "<home>.<unique>". The home names an entry instance: callers learn
// it from the list of entry instances and choose the unique part. Every
// instance that gets a request of an at-most-once route claims the key at its
// home before dispatch. The home grants a claim to one claimant, an attempt
// with an id of its own, and remembers it:
//
//	           Claim                   Complete(RAN)
//	(none) ───────────► in progress ──────────────────► done
//	   ▲                  │      │   Complete(OUTCOME_UNKNOWN), or
//	   │ Complete(NOT_RUN)│      │   the claimant's deadline passes
//	   └───────released◄──┘      └────────────────────► unknown
//
// A repeat of the request gets the recorded answer, or a refusal that says
// that the first attempt still runs or that its outcome is not known. Only the
// claimant itself can release the key, by saying that it has not run and will
// not. Messages may be lost, repeated and reordered: a repeated Claim of the
// same claimant gets the same result, a claimant that has released the key
// never gets it again, also when its Claim arrives after its Complete, and the
// first of two contradicting Complete messages counts.
//
// Keys belong to the customer that uses them: the same text used by another
// customer is another key.
//
// # Retention
//
// A home cannot remember claims for ever, and a key that it has forgotten must
// not run again. So the home's name carries the time slot in which it was
// handed out: "<incarnation>~<slot>". Slots last SlotLength by the home's own
// clock; clocks of other machines do not matter. A key is granted from the
// start of its slot until AcceptFor after its end, and its claim is kept until
// KeepFor after its end. In between, a key without a claim is refused with the
// state Expired, which says truly that it has not run. After that, the answer
// is UNKNOWN. With the defaults a key can be used for 5 to 10 minutes after
// its home was learnt, and its outcome can be asked for 10 to 15 minutes.
//
// When the home has no room, it refuses new claims (FULL, not run) and drops
// none. Bodies of recorded answers that are too large, or find no room, are
// omitted; the status and the headers are kept.
//
// # A home that leaves
//
// A leaving home copies its claims to a peer, preferably of its failure
// domain, in messages of bounded size while it goes on serving. Then it stops
// granting, sends what has changed meanwhile, commits, and sends the last
// message with a digest of all claims. From the commit on it answers
// NOT_HOME and names the peer; it never serves again, whether or not the last
// message arrives. The peer serves only after a last message whose digest
// matches all that it was sent. So at most one of them grants. A copy that
// fails before the commit is abandoned and the home goes on serving until it
// exits. A peer that refuses the last message has discarded the copy, and
// another one may be tried; if the answer to the last message is lost, none
// is, and the keys may be refused as gone.
//
// A home that dies takes its claims with it. Its keys are refused with
// errkind.IdempotencyHomeGone, whose outcome is unknown; the attempt itself is
// not sent.
//
// # Limits
//
// The fingerprint covers the route, method, path, query and the headers that
// describe the body, not the body, which is streamed.
//
// A Home does no I/O and takes the time as an argument. Service adds a lock,
// a clock and the gRPC methods; Resolver is the side of the claimant.
package requestkeys
