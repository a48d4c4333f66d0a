// Package soak runs entry instances as separate processes, harms them from outside
// in ways that a seed draws, and checks what they promise from what callers and
// upstreams see.
//
// The store, the upstreams and the callers live in the process of the soak. Each
// instance reaches the store by a proxy of its own, and each upstream by another; a
// proxy delays, resets, refuses or silences connections in one or both directions.
// Instances are stopped, killed, paused and woken by signals and started again. The
// store is away, slow, or loses answers. Upstreams come and leave, and configurations
// change, while all of this goes on; faults come in series and overlap.
//
// # Promises
//
//   - A request that may run once runs once at most, for each attempt of a caller.
//   - An answer that says that a request has not run is true, also later.
//   - A success is the whole answer to the very request.
//   - Upstreams get the customer's name and never the key.
//   - A request runs only where some configuration lets it run.
//   - Once all faults have ended, nearly all requests are served.
//
// # Limits
//
// Instances speak to each other without a proxy; only pauses of processes silence
// them there. Clocks are not changed: processes share that of the machine.
package soak
