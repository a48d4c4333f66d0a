// Package requesthead decides what a request of a caller may contain: how its body is delimited, which
// of its fields may concern the rest of the system, which path it has, and how large its head may be.
//
// Load pattern: many connections whose heads are of legal size but expensive in memory, and heads that
// are written so that two programs read them differently.
//
// A Scanner decides on the raw bytes of a head, before a parser that would hide the difference reads
// them: net/http drops the Content-Length of a request in chunks, and stores each line of a head before
// any handler runs. Accept decides on the parsed head and returns its canonical form. Both refuse with
// a Refusal, which has a kind of package errkind and a Reason for the counters.
//
// The package does no I/O. Package headgate applies it to connections.
package requesthead
