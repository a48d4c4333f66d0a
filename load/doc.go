// Package load sends requests to a system at fixed rates and reports what each
// customer got.
//
// The load is open: each request has an intended start time, given by the rate
// of its customer alone, and its latency counts from there. A slow system
// therefore cannot lower the load or hide a delay. When more than MaxInFlight
// requests of a customer wait for an answer, further ones are not sent and are
// counted as such.
//
// A customer behaves as docs/CALLERS.md says. It follows the list of entry
// instances and asks for a new one when the list expires. It goes to the next
// instance when a connection fails or an answer says so. A request that must
// not run twice has an idempotency key, and is repeated with the same key while
// its outcome is not known. A refusal with other advice is not retried; it is
// what is measured.
//
// A run is bounded by MaxDuration, and only uses loopback addresses unless
// AllowRemote is set. It measures one process against a few instances; it is no
// model of a fleet.
package load
