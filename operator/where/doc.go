// Package where holds the question of an operator to an entry instance, where it would send a request
// now, and the answer.
//
// Names of reasons are those of placement.Reason, names of refusals those of errkind.Kind. The answer
// names customers and has no keys.
package where
