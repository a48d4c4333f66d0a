// Package edge makes one entry instance that runs on the users' platform.
//
// One control goroutine owns the control state: the records of the store, the
// compiled configuration, the upstreams, the other entry instances and the
// roll-outs. It learns from events and publishes an immutable view. Traffic
// goroutines read the view, choose an upstream from the placement pool and send
// the request there themselves. They never wait for the control goroutine.
//
// The store is watched by one goroutine, and the instance is registered there by
// another. Heartbeats go to the other entry instances; they carry what has to be
// known across instances, and an instance that the store turns away pulls the
// records from them.
package edge
