// Package placement chooses the upstream of each request.
//
// # Affinity
//
// An upstream that has handled an object recently responds faster, because the object
// is in its caches. Requests for the same object therefore prefer the same upstream.
// The object is first assigned a region, by weighted rendezvous hashing over the shares
// of the regions, and then an upstream of that region, by the rendezvous hash of object
// and upstream. All entry instances of a region compute the same order, so they need no
// coordination. When an upstream joins or leaves, only the objects that it gains or
// loses change their upstream.
//
// # Stable assignment
//
// With Settings.Stable, object, region and upstream are matched in one weighted rendezvous hash over
// all upstreams: an upstream gets objects in proportion to its slots, and few objects move when
// upstreams join, leave or are evacuated. The shares of the regions stay as they are while the
// room allows it.
//
// # Regions
//
// A region keeps the requests of its own callers while its slots suffice with a margin,
// or while its utilization is no higher than that of the other regions. The excess goes
// to the regions with spare capacity. The shares follow the demand in small steps, so
// that traffic never shifts suddenly.
//
// # Load
//
// A request waits in a short queue of the preferred upstream of its object, since that
// costs less than having an upstream with cold caches do the work. Beyond that it takes
// the second upstream of its object if that one has enough spare capacity; where the
// second one is in another region, spilling is rate-limited. Otherwise it waits in a
// longer queue of the preferred upstream, as long as it can still be served in time, or
// is refused. The load of an upstream is the number of requests that this instance has
// in flight there, corrected by the load that the upstream reported with a response. Instances
// pass these reports on to each other, since in a large fleet each of them sends
// requests to a given upstream too seldom to know its load.
//
// # Shared machines
//
// Some upstreams state with a response how long work takes there at that moment, since others use
// their machine too. In a service with such upstreams the choice is by the expected time to a
// response, of the first two or three upstreams in the object's order: the extra one depends on
// the instance, so that the excess of an object goes to different ones from different instances.
// A stated pace counts less with age and for 0.6 s at most. A request never leaves its
// region for the pace alone.
//
// # Cold upstreams
//
// A cold upstream can serve few requests. Settings.Cold holds the rate that this
// instance may send, so that all instances together stay within the upstream's bound.
//
// # Health
//
// An upstream that fails several times in a row is ejected for a time that grows
// with each ejection. At least half of the candidates of a service stay in use, even
// if all of them fail. An upstream that sheds a request, refusing it without running
// it, is skipped for the time that it states, within bounds, and for a short time if it
// states none.
//
// An upstream whose response states that it leaves is treated as draining, whatever its entry
// says. The statement holds for one start at one address, also while the entry has lapsed. When
// all upstreams of a service leave, its requests are refused.
//
// # Explanations
//
// Explain names, for each upstream of a service, why a request would go there or why the upstream
// is passed over. It changes no state.
//
// The package does no I/O and takes the time as an argument.
package placement
