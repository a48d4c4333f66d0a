// Package usage decides what the usage report of a window holds and when it is sent.
//
// Load pattern: one instance handles a few requests a second of some tens of customers; up to
// some hundred instances in failure domains that may be cut off; windows of a few seconds of
// true time that are due seconds after their end.
//
// Clock estimates true time from the clocks of several instances. Starts estimates when an
// upstream began to run an attempt. Counter counts the attempts of one instance by customer
// and window. Table collects the counts of many processes; the leader of a failure domain has
// one for its domain and the holder of the duty one for all. Reporter closes windows at the
// holder and decides what is stored, sent, repeated and left out.
//
// Counts are cumulative and have a version for each source and window, so that messages can be
// lost, repeated and take several ways without any count being added twice. They are passed
// on by source and not as sums: two leaders of a domain that follow each other would both
// have parts of the same counts.
//
// Limits: a count that reaches the holder after the window was closed is lost. The begin of an
// attempt is an estimate; see Starts.
package usage
