// Package entryinstance connects entry instances with each other by gRPC.
//
// A Server serves the protocol of package entrypb on a port of its own. A Pool
// holds one connection to each peer, by its IP address and port. gRPC's name
// resolution, service configuration and proxies are not used: a peer is only
// ever reached at the address that membership knows.
//
// # Identity
//
// With TLS both sides prove that they are entry instances. A certificate must
// be signed by the configured authority and must carry the DNS name
// "entry-instance". A certificate that also carries a name of the form
// "NAME.entry-instance" may be used only by the instance NAME; AuthorizeName
// checks a name that a message claims against it. Without TLS the server binds
// loopback addresses only, unless plain text is allowed explicitly.
//
// # Silent connections
//
// A connection can stop carrying data without being closed. Three mechanisms
// find it:
//
//   - both sides send keep-alive pings and give up after the keep-alive
//     timeout, which also bounds unacknowledged data in the kernel;
//   - while a call waits and nothing has been read from the connection for
//     SilenceTimeout, the pool sends a probe, and closes the connection if the
//     probe is not answered within SilenceTimeout either;
//   - Confirm probes a connection that has not been heard from recently, so
//     that an at-most-once request is not sent into a dead one.
//
// A call on a connection that is closed in this way fails with the gRPC code
// Unavailable. The pool then dials again, with a bounded back-off.
//
// # Limits
//
// A message is at most MaxMessageBytes. A call without a deadline gets
// DefaultCallTimeout. Each stream buffers at most StreamWindowBytes per
// direction, however slow its reader is.
package entryinstance
