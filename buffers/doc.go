// Package buffers bounds the memory in which an instance holds the heads and bodies of requests and
// the bodies of responses.
//
// Heads are counted by what they cost in memory, which is many times their length when they are made
// of short lines. They have a part of the limit for themselves, so that bodies always have the rest.
//
// Each request that runs has a Holder. The sum of all holders is bounded, not only each of them:
// many bodies that never end would otherwise fill the memory together, and the process that runs
// out of it takes the requests of all other callers with it.
//
// When the sum exceeds the limit, the largest holders that can be interrupted are ended until it
// fits again. Holders of up to Small bytes are never ended, so ordinary requests are served on.
// From half of the limit on, Scarce asks for responses to be passed on while they are read.
//
// The package does no I/O. The memory of an ended holder is free once its reader has returned,
// so the bound holds but for the bodies whose readers are about to return.
package buffers
