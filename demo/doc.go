// Package demo runs a small system in one process: stand-ins for the platform
// and the upstreams, and real entry instances, all on loopback addresses.
//
// It is meant for first steps, demonstrations and tests. All state is in memory.
//
// Of the requests that its callers send, a read is an idempotent request, and a
// filing is an at-most-once request, sent to /filings with an idempotency key.
package demo
