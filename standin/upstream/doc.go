// Package upstream implements a stand-in for an upstream, for tests and demonstrations.
//
// It is an http.Handler with slots, a service time, a cold start, draining,
// shedding, health and load endpoints, and faults that can be set while it
// runs. It counts the executions per idempotency key and keeps the headers that it
// received, so that a test can verify what reached it.
//
// The ledger is kept in memory and grows with the number of distinct idempotency keys.
package upstream
