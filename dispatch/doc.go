// Package dispatch sends a request to an upstream and returns its response.
//
// It chooses the version and the failure domain, sends the request to an
// upstream of this entry instance or relays it to the entry instance that owns
// another upstream, and retries where that is safe. Requests of at-most-once
// routes reach one upstream at most once: they are retried only after an error
// whose outcome is errkind.NotRun.
package dispatch
