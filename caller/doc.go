// Package caller serves the callers of the system over HTTP.
//
// A request passes these steps, each of which can refuse it: the path is
// checked, a route is matched, the API key is looked up, the customer is
// admitted within its rate, and on at-most-once routes the idempotency key is
// claimed at its home. Then the request is dispatched and the response of the
// upstream is streamed back.
//
// The package ensures that no upstream receives the API key of a caller in a
// header, the path or the query: the headers and query parameters that can carry
// a key are removed, and so is every other header or parameter that contains the
// presented key. A request whose path contains the key is refused. Keys inside a
// body are not removed.
//
// GET /v1/entry-instances, which lists the entry instances that a caller should
// use, is served on the same address.
package caller
