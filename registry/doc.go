// Package registry keeps the upstreams that have registered themselves in the
// platform's store.
//
// An upstream is one incarnation: an id together with the time at which its
// process started. Its entry says whether it takes new work (Ready) or is
// leaving (Draining). An entry that is removed names an upstream that has left,
// with one exception: entries can lapse while the store is away, although their
// upstreams live. A removal that becomes known within Options.Return after the
// store came back is therefore kept open until then; the entry is used until it
// either comes back or that time is over. An instance that is cut off from the store
// and reads the entries from another instance goes by that one's word: the store may
// have been there all the time.
//
// The package does no I/O and takes the time as an argument.
package registry
