// Command third runs the cases of the third review. It starts entry instances as separate processes
// with the settings of a small deployment, and stand-ins of the store, the upstreams and the callers
// in its own process. Each case brings about one disruption and checks one rule from what callers,
// upstreams and the store see.
//
// The exit code is 0 if the rule held, 1 if it was broken and 2 if the case could not run.
package main
