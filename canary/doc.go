// Package canary judges a new version of a service against the old one and
// leads its roll-out to an end.
//
// # Phases
//
// Canary: a small part of the requests goes to the new version, counted at each
// entry instance. Promoting: the version has not been found worse for long enough;
// all requests go to it while the old one ends what it runs. Done and Reverted are
// final. The phase is a record in the store that is changed by compare-and-swap,
// so that all instances end with the same one.
//
// # Judgement
//
// Instances tell each other how many answers and failures each version has had on
// each route. A version is worse when the difference of the failure rates on one
// route is larger than chance explains (zBound) and larger than minDifference.
// Failures of both versions at once, as under overload, do not count against the
// new one.
//
// The package does no I/O and takes the time as an argument.
package canary
