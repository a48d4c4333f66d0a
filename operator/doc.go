// Package operator implements the tasks of operators: it publishes
// configurations and reports whether a published version is in force.
//
// # Publishing
//
// A Publisher checks the whole set, and the change from the published one,
// before it writes anything. It then replaces the published configuration by
// one compare-and-swap with the next version and a unique publish id. If the
// response is lost, it repeats the same compare-and-swap, which can take effect
// only once, and reads back which publish id the version has. When two
// operators race, one compare-and-swap succeeds and the other operator gets a
// RaceError that lists what the first one changed.
//
// # Status
//
// Each entry instance serves its InstanceStatus. A Report combines those of all
// instances: where a version is in force, which instances are cut off from the
// store or cannot be reached, and the progress of moves and roll-outs.
//
// # Limits
//
// A publish whose context ends before the store responds has an unknown outcome:
// it may have taken effect. The UnknownOutcomeError contains its version and
// publish id. The outcome also stays unknown if more than dynamic.MaxHistory later
// publishes have replaced the version before the Publisher reads it back.
package operator
