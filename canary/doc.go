// Package canary compares a new version of a service with the old one and drives its
// roll-out to promotion or reversion.
//
// # Phases
//
// Canary: a small share of the requests goes to the new version, counted at each entry
// instance. Promoting: the version has been in the canary phase for long enough without
// being found worse; all requests go to it while the old one completes its running
// requests. Done and Reverted are final. The phase is a record in the store that is
// changed by compare-and-swap, so that all instances end with the same one.
//
// # Comparison
//
// Instances exchange the number of responses and failures of each version on each
// route. A version is worse when the difference of the failure rates on one route is
// statistically significant (minZScore) and at least minRateDifference. Failures of
// both versions at once, as under overload, do not count against the new one.
//
// The package does no I/O and takes the time as an argument.
package canary
