// Package rollouts shifts the traffic of a service from one version to another
// by steps, and stops a new version that fails or slows down.
//
// # Steps
//
// A roll-out starts with its canary share. The share grows by a step when the
// step interval has passed and the new version has answered enough requests on
// every route since the last step. A route with little traffic does not block
// the roll-out: each step has a latest time, planned backwards from the
// deadline so that the remaining steps fit; the canary share ends at half of
// the deadline at the latest. The largest share that is compared is
// ComparedShare, so that the old version goes on answering some requests. After
// one step interval at that share the roll-out is done and all requests go to
// the new version. A roll-out that is not done by its deadline is taken back.
//
// The share stays as it is while the upstreams of the new version are loaded
// or while there is some evidence against it.
//
// # Judgement
//
// The owner of an upstream counts the requests that it sends to it, so that
// neither the way there nor the death of an owner is blamed on a version. Every
// instance judges by three sets of counts: its own, those of each failure
// domain, and those of the whole fleet, as its peers report them. An instance
// that owns upstreams of one version only thus still judges.
//
// For each route, and for failures and slow answers apart, time is cut into
// slices in which both versions answered. If the versions are alike, the
// failures of a slice are spread over its requests by chance. The likelihood
// ratio of a spread with higher odds for the new version has then the mean 1,
// whatever the failure rate is and however it changes between slices; so an
// outage that both versions share is no evidence. The products of these ratios,
// started anew throughout the roll-out with weights that sum to 1, exceed 1/p
// with a probability of at most p (Ville's inequality), at whatever moment one
// looks. The bound p is FalseAlarm divided by the number of tests: routes, two
// measures, and three judges on each instance.
//
// Counts of different instances are not taken at the same moment. Where several
// instances are compared as one, the new version's requests of a slice are also
// compared with the old version's of the slices before and after it, and the
// weakest evidence counts.
//
// An answer is slow when it takes more than twice the time within which nine
// tenths of the old version's answers came, and at least 5 ms more. A request
// without an answer counts as slow as soon as it has waited that long.
//
// Limits: requests on one route must be alike for both versions; the test does
// not tell a bad version from upstreams that are bad for another reason, such
// as their failure domain when only the new version is there. A version with
// less than about twice the failures or slow answers of the old one passes.
// Refusals that were not run, such as a shed or a connection that never opened,
// and answers that blame the caller (status 4xx) are no failures. After the
// roll-out is done nothing is compared.
//
// # Verdicts
//
// A verdict stops the new version on the instance that reached it at once, and
// on every other when it hears of it, without the store. It is final for the
// generation of the roll-out: operators must publish a changed object to try
// again. The driver records it when it can.
//
// See package shift for the records, their order and the treatment of time.
package rollouts
