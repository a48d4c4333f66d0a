// Package buildinfo tells the version of the running program.
package buildinfo

import "runtime/debug"

// Release is the release of the project.
const Release = "0.1.0"

// Version returns the release, with the revision that it was built from where
// the build recorded one.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return Release
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			return Release + "+" + setting.Value
		}
	}
	return Release
}
