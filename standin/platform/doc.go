// Package platform implements a small stand-in for the platform: its key-value store
// and its list of instances, kept in memory.
//
// A Platform implements platform.Store and platform.InstanceLister directly,
// and Handler serves the same operations over HTTP:
//
//	GET    /samphireferry/kv-key?key=K                      one key
//	GET    /samphireferry/kv-range?prefix=P                 list, in one page
//	GET    /samphireferry/kv-watch?prefix=P&after=R&wait_ms=N  long poll
//	POST   /samphireferry/kv-txn {precondition, writes, remove} compare-and-swap
//	POST   /samphireferry/kv-lease {ttl_ms}                 grant a lease
//	POST   /samphireferry/kv-keep/L                         keep it alive
//	DELETE /samphireferry/kv-lease-end/L                    revoke it
//	GET    /standin/instance-list                           list of instances
//
// Three more paths control the stand-in itself and are not counted as calls:
//
//	GET, PUT /standin/faults     fault switches, see Faults
//	GET      /standin/calls      number of calls by kind
//	GET, PUT /standin/instances  the true list of instances, without lag
//
// All waiting uses the time package, so testing/synctest can control it. The
// stand-in keeps a bounded history of each key, from which stale reads are
// served. All state is lost when the process ends.
package platform
