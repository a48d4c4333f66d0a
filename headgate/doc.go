// Package headgate applies package requesthead to the connections of callers.
//
// A Gate stands between a connection and the server of net/http. It passes on a head only when the
// head is complete and accepted, and its memory is held in the budget of package buffers; it then
// passes on the body, and finds the next head behind it. In place of a head that is refused, the server
// gets a request without meaning, so that the handler writes the refusal in its turn, behind the
// responses to requests that the caller sent before; nothing that follows is read. A request that the
// server has parsed from other bytes than the inspected head is refused by Take.
//
// Each connection has its own state, which only the goroutine that reads it changes. Heads that fit into
// the buffer of the server, as nearly all do, are inspected there and are not copied.
package headgate
