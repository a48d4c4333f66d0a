// Package client sends requests to entry instances and follows the rules of
// docs/CALLERS.md. It is meant for embedding in other programs.
//
// # Entry instances
//
// The client caches the list of entry instances for its TTL and tries them in
// order. It tries the next one when a connection fails, when no response head
// arrives within HeadTimeout, or when a response advises so. An instance that
// failed is tried last for AvoidFor. While no instance returns a new list, the last
// one stays in use.
//
// # Idempotent requests
//
// Do is for requests that may run more than once. It repeats a request as the
// responses advise, until it has a complete response, a final refusal, or the
// deadline passes.
//
// # At-most-once requests
//
// Submit sends one action under one idempotency key. It replaces the key only if it
// has generated the key itself and the home of the key is gone while no attempt can
// have run. It repeats the request until it has the response, the outcome is known
// to remain unknown, or the deadline passes. An error states the combined outcome
// of all attempts: NotRun only if no attempt can have reached an upstream. To learn
// the outcome of an action after an error or a restart, call Submit again with the
// same key and the same request. A new key is safe only if the outcome is NotRun.
//
// # Delays
//
// The delay before a repeat is the Retry-After of the response plus a jittered
// exponential back-off. If the delay would end after the deadline, the client
// returns the error without waiting.
//
// # Limits
//
// Responses are read into memory, up to MaxResponseBytes; a truncated one is never
// returned. Request bodies are kept in memory for repeats. The client has no retry
// budget: entry instances shed load, and the back-off limits the rate of repeats of
// each request.
package client
