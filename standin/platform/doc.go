// Package platform is a small stand-in for the platform: its key-value store
// and its list of instances, held in memory.
//
// A Platform implements platform.Store and platform.InstanceLister directly,
// and serves the same over HTTP with Handler:
//
//	GET    /v1/entry?key=K                              one entry
//	PUT    /v1/entry?key=K  {value, expected, lease}    compare-and-swap
//	DELETE /v1/entry?key=K&expected=R                   delete
//	GET    /v1/entries?prefix=P                         list
//	GET    /v1/watch?prefix=P&after=R&wait=10s          long poll
//	POST   /v1/leases {ttl}                             grant a lease
//	PUT    /v1/leases?lease=L                           keep it alive
//	DELETE /v1/leases?lease=L                           revoke it
//	GET    /v1/instances                                list of instances
//
// Three more paths control the stand-in itself and are not counted as calls:
//
//	GET, PUT /standin/faults     fault switches, see Faults
//	GET      /standin/calls      number of calls by kind
//	GET, PUT /standin/instances  the true list of instances, without lag
//
// All waiting uses the time package, so testing/synctest can drive it. The
// stand-in keeps a bounded history of each key, from which stale reads are
// answered. It forgets everything when the process ends.
package platform
