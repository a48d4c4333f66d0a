// Package registry tracks the upstreams that have registered themselves in the
// platform's store.
//
// An upstream is one incarnation: an id together with the start time of its process.
// Its entry states whether it accepts new work (Ready) or is leaving (Draining). The
// removal of an entry means that the upstream has left, with one exception: entries can
// lapse while the store is unavailable although their upstreams are alive. A removal
// that becomes known within the grace period after the store is available again (see
// New) is therefore not confirmed: the entry stays in use until it returns or the grace
// period ends. An instance that is cut off from the store and reads the entries from
// another instance relies on that instance to confirm removals, since the store may have
// been available all the time.
//
// The package does no I/O and takes the time as an argument.
package registry
