// Package rollouts shifts the traffic of a service from one version to another
// in steps, and stops a new version that fails or slows down.
//
// # Steps
//
// A roll-out starts with its canary share. The share grows by a step when the
// step interval has passed and the new version has responded to enough requests
// on every route since the last step. A route with little traffic does not
// block the roll-out: each step has a latest time, planned backwards from the
// deadline so that the remaining steps fit; the canary share ends at half of
// the deadline at the latest. The largest share that is compared is
// ComparedShare, so that the old version continues to serve some requests.
// After one step interval at that share the roll-out is done and all requests
// go to the new version. A roll-out that is not done by its deadline is taken
// back: its share returns to 0.
//
// The share does not grow while the upstreams of the new version are loaded or
// unhealthy, while their load is unknown, or while there is some evidence
// against the new version.
//
// # Judgement
//
// The owner of an upstream counts the requests that it sends to it, so that
// neither faults on the path to the owner nor the crash of an owner are
// attributed to a version. Every instance judges three sets of counts: its own,
// those of each failure domain, and those of the whole fleet, as its peers
// report them. An instance that owns upstreams of one version only can
// therefore still judge.
//
// For each route, and separately for failures and slow responses, time is
// divided into slices in which both versions responded. If the versions behave
// alike, the failures of a slice are distributed over its requests at random.
// The likelihood ratio of a distribution with higher odds for the new version
// then has mean 1, whatever the failure rate is and however it changes between
// slices; an outage that both versions share is therefore no evidence. The
// weighted sum of the products of these ratios, with new products started
// throughout the roll-out and weights that sum to 1, exceeds 1/p with a
// probability of at most p at any time (Ville's inequality). The bound p is
// FalseAlarm divided by the number of tests: routes, two measures, and three
// judges on each instance.
//
// Counts of different instances are sampled at different times. Where several
// instances are compared as one, the new version's requests of a slice are also
// compared with the old version's of the slices before and after it, and the
// weakest evidence is used.
//
// A response is slow when it takes more than twice the 90th percentile of the
// old version's latency, and at least 5 ms more than that percentile. A request
// without a response is counted as slow as soon as it has waited that long.
//
// # Limits
//
// Requests on one route must be alike for both versions. The test does not
// distinguish a bad version from upstreams that are bad for another reason,
// such as a faulty failure domain that contains only the new version. A version
// with less than about twice the failures or slow responses of the old one
// passes. Refused requests that were not run, such as a shed request or a
// connection that never opened, and responses that report an error of the
// caller (status 4xx) do not count as failures. Nothing is compared after the
// roll-out is done.
//
// # Verdicts
//
// A verdict stops the new version immediately on the instance that reached it,
// and on every other instance when the verdict arrives in a heartbeat, without
// the store. It is final for the generation of the roll-out: operators must
// publish a changed object to try again. The driver writes it to the record
// when the store is available.
//
// See package shift for the records, their order and the handling of time.
package rollouts
