// Package edge makes one entry instance that runs on the users' platform.
//
// One control goroutine owns the control state: the records of the store, the
// compiled configuration, the upstreams, the other entry instances and the
// roll-outs. It learns from events and publishes an immutable view. Traffic
// goroutines read the view, choose an upstream from the placement pool and send
// the request there themselves. They never wait for the control goroutine.
//
// One goroutine reads the store: all records once, then their changes while the
// instance leads its failure domain. Another one keeps the instance registered.
// Heartbeats go to the other entry instances; they carry what has to be known across
// instances, in a large fleet as sums of failure domains. An instance that sees a
// newer revision than its own in a heartbeat pulls the records that it lacks.
package edge
