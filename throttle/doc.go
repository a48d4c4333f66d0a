// Package throttle holds the rates to which upstreams limit their requests.
//
// An upstream in need states in each response how many requests a second it takes from
// all instances together, and omits the statement once it takes any number.
//
// The package does no I/O and takes the time as an argument.
package throttle
