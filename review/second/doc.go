// Command second runs the scripted cases of the second review: it starts ferry-edge as processes, with
// a store, upstreams and callers in its own process, and checks one rule from what these have seen.
//
// The names and the layout of the records of the operator and of the upstreams are in the files of the
// case, so that only package platform has them in Go.
package main
