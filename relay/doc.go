// Package relay forwards a request to the entry instance that owns the upstream,
// and returns the response, over one gRPC stream.
//
// The Client sends the head and then the body in chunks, without waiting in
// between. The owner accepts or refuses the request based on the head alone,
// before it reads the body. It sends either a refusal, or the head of the
// response, the body in chunks and an end mark. Both directions are
// flow-controlled by the stream; neither side buffers more of a body than the
// stream window and one chunk.
//
// # Outcomes
//
// An error of Client.Send has the outcome errkind.NotRun only if nothing was
// sent, or if the refusal of the owner states it. If the stream breaks after the
// head was sent, the request may have run, and the outcome is errkind.Unknown.
// A refusal whose kind implies NotRun but whose not_run flag is not set is
// reported as errkind.UpstreamFailed. A response without an end mark is
// truncated: reading its body ends with errkind.AnswerTruncated.
//
// A request of an at-most-once route is sent only over a connection with a
// recent contact, and keeps waiting if the connection becomes silent later.
// Other requests then fail with errkind.UpstreamFailed, well before their
// deadline, and can be retried.
//
// # One hop
//
// The owner serves a relayed request from its own upstreams or refuses it. The
// context of a relayed request is marked, and Client.Send refuses a marked
// context. A request is therefore never relayed twice or in a loop, even if two
// instances disagree about the owner.
//
// # Limits
//
// Trailers and upgrades are not forwarded. The deadline is sent as the remaining
// time, so that clocks need not be synchronised. A request that was delayed in
// transit, or in a paused owner, may therefore be dispatched after the sender has
// timed out. In that case the sender has correctly reported an unknown outcome,
// and the idempotency key stays claimed.
package relay
