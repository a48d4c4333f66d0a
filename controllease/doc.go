// Package controllease elects the entry instance that does control-plane work,
// such as the steps of moves and roll-outs.
//
// One key of the platform's store names the holder and is bound to a platform
// lease. Any instance may hold it; none is preferred. The holder renews the
// lease three times per time to live (TTL). It considers itself the holder until
// three quarters of the TTL after the start of its last successful renewal, by
// its own monotonic clock, so that an instance that was paused does not plan.
//
// The lease only saves calls. Two instances that both consider themselves the
// holder are safe, since every write is a compare-and-swap.
//
// The other instances read the key at random times: about once a second across
// the whole fleet, whatever its size, and less often while the store is
// unavailable. There is therefore no burst of calls when the store is available
// again.
//
// Lease is a state machine without I/O. Runner performs its calls in goroutines
// and posts their results back to the control goroutine.
package controllease
