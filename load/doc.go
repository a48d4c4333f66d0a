// Package load sends requests to a system at fixed rates and reports the outcomes
// and latencies of each customer.
//
// The load is open-loop: each request has an intended start time, given by the rate
// of its customer alone, and its latency is measured from that time. A slow system
// therefore can neither reduce the load nor hide a delay. While MaxInFlight requests
// of a customer are in flight, further ones are not sent and are counted as not sent.
//
// A customer behaves as described in docs/CALLERS.md, through package client, with
// these differences. Each request starts at the first instance of the list, like the
// first request of a new caller. A refusal that advises a later retry is not retried,
// because it is what is measured. A request has at most eight attempts.
//
// A run is bounded by MaxDuration, and uses only loopback addresses unless
// AllowRemote is set. It measures one process against a few instances and does not
// model a fleet.
package load
