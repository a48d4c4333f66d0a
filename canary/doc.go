// Package canary compares a new version of a service with the old one and drives its
// roll-out to promotion or reversion.
//
// # Phases
//
// Canary: a small share of the requests goes to the new version, counted at each entry
// instance. Promoting: the responses of the new version speak for it; all requests go to
// it while the old one completes its running requests. Done and Reverted are final. The
// phase is a record in the store that is changed by compare-and-swap, so that all
// instances end with the same one.
//
// # Evidence
//
// Instances exchange the number of responses, failures and error responses of each
// version on each route. Three questions are asked of them.
//
// Is the version worse? It is when the likelihood ratio of "its error rate is higher, on
// one route or on all of them, from the order on or from a later time" to "its error rate
// is that of the old version" reaches stopRatio, or when the rates of all failures, late
// responses included, differ by minRateDifference or more and significantly (minZScore).
//
// Is there enough evidence? Each route needs as many responses of the new version as
// exclude the smallest failure rate that matters there (neededResponses). Until then the
// roll-out waits, and the routes with the fewest responses get more of the canary share
// (Shares).
//
// What is done without enough evidence? At the latest time that leaves the old version
// its drain time before the deadline, the version is reverted if the likelihood ratio
// reaches revertRatio or if a busy route has no response of it, and promoted otherwise.
//
// The load pattern that it handles is a service with routes of 1 to 100 requests a second
// whose responses and heartbeats arrive up to two seconds late.
//
// The package does no I/O and takes the time as an argument.
package canary
