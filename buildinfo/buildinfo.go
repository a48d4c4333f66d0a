// Package buildinfo provides the version of the running program.
package buildinfo

import "runtime/debug"

// Release is the release version of the project.
const Release = "0.1.0"

// Version returns the release version, followed by "+" and the source revision if
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
