// Package operator serves the people who operate the system: it publishes
// configurations and tells whether what they want is in force.
//
// # Publishing
//
// A Publisher checks the whole set, and the change from the published one,
// before it writes anything. It then replaces the published configuration by
// one compare-and-swap with the next version and a publish id of its own. When
// the answer is lost it repeats the same compare-and-swap, which can take effect
// only once, and reads back whose publish id the version carries. When two
// operators race, one compare-and-swap wins and the other operator gets a
// RaceError that names what the winner changed.
//
// # Status
//
// Each entry instance serves its InstanceStatus. A Report puts those of all
// instances together: where a version is in force, which instances are cut off
// from the store or cannot be reached, and how far moves and roll-outs are.
//
// # Limits
//
// A publish whose context ends before the store answers is unsettled: it may
// have taken effect. The error names its version and publish id. A publish that
// more than dynamic.MaxHistory others have replaced since stays unsettled too.
package operator
