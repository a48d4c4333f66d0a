// Package entryinstance connects entry instances with each other by gRPC.
//
// A Server serves the protocol of package entrypb on a dedicated port. A Pool
// holds one connection to each peer, by its IP address and port. gRPC's name
// resolution, service configuration and proxies are not used: a peer is only
// reached at the address given by membership.
//
// # Identity
//
// With TLS both sides prove that they are entry instances. A certificate must
// be signed by the configured authority and must have the DNS name
// "entry-instance". A certificate that also has a DNS name of the form
// "NAME.entry-instance" may be used only by the instance NAME; AuthorizeName
// checks the name claimed in a message against it. Without TLS the server binds
// loopback addresses only, unless plain text is allowed explicitly.
//
// # Silent connections
//
// A connection can stop carrying data without being closed. Three mechanisms
// detect it:
//
//   - both sides send keep-alive pings and close the connection after the
//     keep-alive timeout, which also bounds how long data may stay
//     unacknowledged in the kernel;
//   - while a call waits and nothing has been read from the connection for
//     SilenceTimeout, the pool sends a probe, and retires the connection if
//     nothing is read within SilenceTimeout after it either; a call that ends sooner,
//     before anything was read, leads to the probe as well;
//   - Confirm probes a connection from which nothing has been read recently, so
//     that an at-most-once request is not sent on a dead one.
//
// A call on a connection that is closed or retired in this way fails with the
// gRPC code Unavailable, except that a call marked with KeepOnSilence keeps
// waiting on a retired one. The pool then dials again, with a bounded backoff.
//
// # Limits
//
// A message is at most MaxMessageBytes. A unary call without a deadline gets
// DefaultCallTimeout. Each stream buffers at most StreamWindowBytes per
// direction, however slow its reader is.
package entryinstance
