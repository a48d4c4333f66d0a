// Package shift keeps the records of traffic shifts: moves between failure
// domains and roll-outs of versions.
//
// A shift has one record in the platform's store. Each change of it is one
// compare-and-swap that raises the step number by one, so a paused or second
// driver can neither go back nor skip a step, and the next driver goes on from
// what it reads. Packages moves and rollouts decide which change comes next;
// this package carries it out.
//
// # Generations
//
// A record belongs to the object that operators published. When the object is
// changed, the record starts a new generation, named by the version of that
// configuration. A driver with an older configuration than the record leaves it
// alone. When the object is removed, the record is taken back at once, kept for
// TombstoneAge, and deleted. A record that is made again starts at a step that
// is higher than any before it, so the step alone orders the records of a name.
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
// A clock that is ahead by less than ClockTolerance therefore changes nothing,
// and one that is further ahead ends a shift early. A process that has just
// started knows the elapsed time from the clocks only; it can be behind by the
// difference of the clocks and ClockTolerance. A driver ends a shift some
// seconds before its deadline (Margin), which leaves time for that and for a
// slow write. Every instance on its own stops applying a shift that is neither
// done nor taken back shortly before the deadline, also when the store is away.
// With deadlines from 80 s and clocks that differ by up to ClockTolerance, no
// instance applies such a shift past its deadline. With shorter deadlines the
// margins are a tenth and a twentieth of the deadline, and an instance that has
// just started may be late by up to 2 ClockTolerance.
package shift
