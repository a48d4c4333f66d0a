// Package edge implements an entry instance that runs on the users' platform.
//
// One control goroutine owns the control state: the records of the store, the
// compiled configuration, the upstreams, the peers (the other entry instances) and
// the roll-outs. It receives events and publishes an immutable view. Traffic
// goroutines read the view, choose an upstream from the placement pool and send the
// request to it themselves. They never wait for the control goroutine.
//
// One goroutine reads the store: all records once, then their changes while the
// instance leads its failure domain. Another one keeps the instance registered.
// Heartbeats to peers carry the state that instances share; in a large fleet, they
// carry it between failure domains as sums. An instance that sees a newer revision
// than its own in a heartbeat pulls the records that it lacks.
package edge
