// Package upstream talks to the upstreams: it makes attempts and probes.
//
// An attempt is one request on one connection. The first byte that is written
// binds the attempt to its connection: net/http repeats some requests on its
// own, and every such repeat after the first byte fails before it writes. So
// an attempt reaches an upstream at most once, whatever its method and headers.
//
// Every error of an attempt has an errkind.Kind. The kind has the outcome
// errkind.NotRun only when no byte of the attempt was handed to the kernel, and
// none can be later, or when the upstream itself said that it did not run the
// request (HeaderShed). No byte is written after the deadline of the context.
//
// A pooled connection is used for an at-most-once request only when the
// upstream was heard on it within Options.TrustedFor. A read that stays without
// an answer for the silence timeout ends, and with it the trust in every
// connection that was opened before; the next attempt dials a new one. With
// Options.NoSilenceTimer only keep-alive probes find a silent connection.
//
// An answer is whole only when its length or its last chunk says so. An answer
// with neither is refused, unless Options.UntilClose takes it. Where the service echoes the request id, an answer
// with another id or none is refused and its connection is closed.
//
// The package cannot tell whether an upstream that received a request ran it.
package upstream
