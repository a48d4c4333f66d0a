// Package client sends requests to entry instances by the rules of
// docs/CALLERS.md, for programs that embed it.
//
// # Entry instances
//
// The client keeps the list of entry instances for its ttl and tries them in
// order. It moves on when a connection fails, when no answer head comes within
// HeadTimeout, or when an answer advises so. An instance that failed is tried
// last for a while. When no instance gives a new list, the last one stays in
// use.
//
// # Idempotent requests
//
// Do is for requests that may run more than once. It repeats a request as the
// answers advise, until there is a whole answer, a refusal that is final, or
// the deadline.
//
// # At-most-once requests
//
// Submit sends one action under one idempotency key, which it never replaces.
// It repeats the request with that key until the answer is there, the outcome
// is known to stay unknown, or the deadline comes. An error then states the
// outcome over all attempts: NotRun only if no attempt can have reached an
// upstream. To ask for the outcome of an action after an error or a restart,
// call Submit again with the same key and the same request. A new key is right
// only when the outcome is NotRun.
//
// # Delays
//
// A delay before a repeat is the Retry-After of the answer plus a jittered
// exponential back-off. A repeat that could not start before the deadline is
// not waited for.
//
// # Limits
//
// Answers are read into memory, up to MaxAnswerBytes; one that is cut short is
// never returned. Request bodies are kept in memory for repeats. The client has
// no retry budget of its own: entry instances shed load, and the back-off
// bounds the repeats of each request.
package client
