// Package controllease decides which entry instance does control work, such as
// the steps of moves and roll-outs.
//
// The holder is named in one key of the platform's store, which is bound to a
// platform lease. Any instance may hold it; none is preferred. The holder
// renews the lease three times in its time to live. It counts as the holder
// until three quarters of that time after the start of its last renewal, by its
// own monotonic clock, so that an instance that was paused does not plan.
//
// The lease only saves calls. Two instances that both take themselves for the
// holder do no harm, since every write is a compare-and-swap.
//
// The other instances read the key at random times, about once a second in the
// whole fleet however large it is, and less often while the store does not
// answer. There is therefore no burst of calls when the store returns.
//
// Lease is a state machine without I/O. Runner carries its calls out in
// goroutines and posts their results back to the control goroutine.
package controllease
