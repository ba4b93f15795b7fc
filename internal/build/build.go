// Package build reports the version of the programs.
package build

import "runtime/debug"

// Version is the release version of this source tree.
const Version = "0.1.0"

// String returns the version, followed by "+" and the VCS revision when the build information contains one.
func String() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return Version
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return Version + "+" + s.Value
		}
	}
	return Version
}
