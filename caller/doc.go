// Package caller serves the callers of the system over HTTP.
//
// A request passes these steps, each of which can refuse it: the path is
// checked, a route is matched, the key is looked up, the customer is admitted
// within its rate, and on at-most-once routes the idempotency key is claimed
// at its home. Then the request is dispatched and the answer of the upstream is
// streamed back.
//
// The package guarantees that no upstream sees the key of a caller: the headers
// and query parameters that can carry a key are removed, and so is every other
// header or parameter whose value contains the key that was presented.
//
// GET /v1/entry-instances, which tells a caller which entry instances to use,
// is served on the same address.
package caller
