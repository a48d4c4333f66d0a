// Package load sends requests to a system at fixed rates and reports what each
// customer got.
//
// The load is open: each request has an intended start time, given by the rate
// of its customer alone, and its latency counts from there. A slow system
// therefore cannot lower the load or hide a delay. When more than MaxInFlight
// requests of a customer wait for an answer, further ones are not sent and are
// counted as such.
//
// A customer behaves as docs/CALLERS.md says, by package client, with these
// differences. Each request starts at the first instance of the list, as that of
// a caller of its own. A refusal that advises a later repeat is not repeated; it
// is what is measured. A request has at most eight attempts.
//
// A run is bounded by MaxDuration, and only uses loopback addresses unless
// AllowRemote is set. It measures one process against a few instances; it is no
// model of a fleet.
package load
