// Package shift keeps the records of traffic shifts: moves between failure
// domains and roll-outs of versions.
//
// A shift has one record in the platform's store. Each change of the record is
// one compare-and-swap that raises the step number by one, so a paused or second
// driver can neither revert nor skip a step, and the next driver continues from
// the record that it reads. Packages moves and rollouts decide the next change;
// this package executes it.
//
// # Generations
//
// A record belongs to the object that operators published. When the object is
// changed, the record starts a new generation, identified by the version of that
// configuration. A driver with an older configuration than the record does not
// change it. When the object is removed, the shift is taken back immediately:
// its share is 0. The record is kept for TombstoneAge and then deleted. A record
// that is created again starts at a step that is higher than any before it, so
// the step alone orders the records of a name.
//
// # Time
//
// A record holds wall-clock times and the time that had elapsed at its last
// step. The elapsed time of a shift is the larger of
//
//   - the elapsed time in the record, and the time since this process first
//     saw that step by its own monotonic clock;
//   - the wall-clock time since the start, less ClockTolerance.
//
// A clock that is ahead by less than ClockTolerance therefore has no effect, and
// one that is further ahead ends a shift early. A process that has just started
// computes the elapsed time from wall clocks only; it can be behind by the
// difference of the clocks plus ClockTolerance. A driver ends a shift a few
// seconds before its deadline (Margin), which leaves time for that error and for
// a slow write. Every instance independently stops applying a shift that is
// neither done nor taken back shortly before the deadline, also when the store is
// unavailable. With deadlines of at least 80 s and clocks that differ by up to
// ClockTolerance, no instance applies such a shift past its deadline. With
// shorter deadlines the margins are a tenth and a twentieth of the deadline, and
// an instance that has just started may be late by up to 2 ClockTolerance.
package shift
