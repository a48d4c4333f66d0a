// Package ctl is the command line of operators.
//
// Flags come before the arguments of a command. Each flag can also be set by an
// environment variable: -platform by FERRYCTL_PLATFORM. A flag goes before the
// variable.
//
// The exit code is 0 on success, 1 when something is refused or not in force, 2
// on wrong usage, and 3 when the platform or an instance gives no answer, in
// which case a publish may have taken effect.
package ctl
