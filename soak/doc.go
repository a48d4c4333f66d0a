// Package soak runs entry instances as separate processes, injects faults drawn from
// a seed into them and their environment, and checks their guarantees against what
// callers and upstreams observe.
//
// The store, the upstreams and the callers run in the soak's process. Each instance
// reaches the store through its own proxy, and each upstream has another; a proxy
// delays, resets, refuses or silences connections in one or both directions.
// Instances are stopped, killed, paused and resumed by signals and restarted. The store
// is unavailable, slow, or loses responses. Upstreams are added and removed, and
// configurations change at the same time; faults follow each other and overlap.
//
// # Guarantees
//
//   - An at-most-once request runs at most once for each attempt of a caller.
//   - A response that states that a request has not run is true and remains true.
//   - A successful response is complete and belongs to its request.
//   - Upstreams receive the customer's name and never the API key.
//   - A request runs only where some configuration allows it.
//   - An instance that got a response of an upstream which states that it leaves sends it
//     nothing more, also while the store is unavailable.
//   - An instance that an upstream has refused sends it nothing before its Retry-After.
//   - An upstream stops its work soon after the caller has left, and gets no request later; this is
//     checked once all faults have ended.
//   - Once all faults have ended, nearly all requests are served.
//
// # Limits
//
// Instances connect to each other without a proxy; only pausing their processes
// silences these connections. Clocks are not changed: all processes share the
// machine's clock.
package soak
