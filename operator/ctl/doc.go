// Package ctl implements the command line of operators.
//
// Flags come before the arguments of a command. Each flag can also be set by an
// environment variable, such as -platform by FERRYCTL_PLATFORM. A flag overrides
// the variable.
//
// The exit code is 0 on success, 1 when something is rejected or not in force, 2
// on wrong usage, and 3 when the platform or an instance does not respond, in
// which case a publish may have taken effect.
package ctl
