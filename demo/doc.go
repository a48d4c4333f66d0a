// Package demo runs a small system in one process: stand-ins of the platform
// and of the upstreams, and real entry instances, all on loopback addresses.
//
// It is for first steps, demonstrations and tests. Everything is kept in memory.
package demo
