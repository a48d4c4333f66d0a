// Package dispatch carries one request to an upstream and its answer back.
//
// It chooses the version and the failure domain, sends the request to an
// upstream of this entry instance or relays it to the owner of another one,
// and retries where that is safe. Requests of at-most-once routes are sent to
// one upstream at most once: they are retried only after an error whose
// outcome is errkind.NotRun.
package dispatch
