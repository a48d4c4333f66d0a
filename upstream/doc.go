// Package upstream sends requests and health probes to upstreams.
//
// An attempt is one request on one connection. The first byte written binds the
// attempt to its connection: net/http retries some requests by itself, and
// every such retry after the first byte fails before it writes. An attempt
// therefore reaches an upstream at most once, whatever its method and headers.
//
// Every error of an attempt has an errkind.Kind. The kind has the outcome
// errkind.NotRun only when no byte of the attempt was or will be handed to the
// kernel, or when the upstream itself reported that it did not run the request
// (HeaderShed). No byte is written after the deadline of the context, or once its Err
// reports that it has ended; Err is asked before each write.
//
// A pooled connection carries an at-most-once request only when the last
// contact with the upstream on it lies within Options.MaxContactAge. An
// idempotent request that receives no response within the silence timeout is
// abandoned, and no connection whose last contact is older than the start of
// that attempt is used again; the next attempt dials a new one. With
// Options.NoSilenceTimer only keep-alive probes detect a silent connection.
//
// A connection on which bytes follow a complete response, or that the upstream has
// closed, is closed. It carries no further request, unless these bytes or the end of the
// connection arrive only after that request got it.
//
// A response is complete only when its Content-Length or its last chunk shows
// it. A response with neither is rejected unless Options.AcceptCloseDelimited is
// set. If the service echoes the request id, a response with a different id or
// none is rejected and its connection is closed.
//
// The package cannot determine whether an upstream that received a request ran
// it.
package upstream
