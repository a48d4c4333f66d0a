// Package relay carries a request to the entry instance that owns the
// upstream, and the answer back, over one gRPC stream.
//
// The Client sends the head, then the body in chunks, and waits for nothing in
// between. The owner accepts or refuses from the head alone, before it reads
// the body. It answers with a refusal, or with the head of the answer, the
// body in chunks and an end mark. Both directions are flow-controlled by the
// stream; neither side holds more of a body than the stream window and one
// chunk.
//
// # Outcomes
//
// An error of Client.Send has an outcome of errkind.NotRun only if nothing was
// sent, or if the owner said so in its refusal. If the stream breaks after the
// head was sent, the request may have run, and the outcome is errkind.Unknown.
// A refusal whose kind promises NotRun while its flag does not is reported as
// errkind.UpstreamFailed. An answer that lacks the end mark is cut: reading
// its body ends with errkind.AnswerTruncated.
//
// A request of an at-most-once route is sent only over a connection that has
// been heard from recently, and is left waiting if the connection turns silent
// later. Other requests then fail with errkind.UpstreamFailed, well before
// their deadline, and can be repeated.
//
// # One hop
//
// The owner serves a relayed request from its own upstreams or refuses it. Its
// context is marked; Client.Send refuses a marked context, so that a request
// never travels on, or in a circle, even when two instances disagree about who
// the owner is.
//
// # Limits
//
// Trailers and upgrades are not carried. The deadline travels as the time that
// is left, so that clocks need not agree; a request that was held up on the
// way, or in a paused owner, may therefore be dispatched after the sender has
// given up. The sender has reported an unknown outcome then, which is true,
// and the idempotency key stays claimed.
package relay
