// Package linger closes connections so that the bytes that were written to them still arrive.
//
// A socket that is closed while bytes of its peer are unread, or to which bytes come after the close, is
// reset, and a reset drops what has not been sent yet. A peer that sends requests ahead, or a body that
// nobody reads, so loses a response that has been written. A Conn therefore ends its own direction first,
// discards what the peer still sends, and closes the socket once the peer has closed or no longer makes
// progress (RFC 9112, 9.6).
//
// Load pattern: callers that send requests ahead and read slowly during a planned stop.
//
// Peers that neither read nor close hold a descriptor each until then. A Closer bounds their number: beyond
// it the connection that has lingered longest is closed at once.
package linger
