// Package build tells which version of the programs this is.
package build

import "runtime/debug"

// Version is the release the source tree belongs to.
const Version = "0.1.0"

// String returns the version with the module's revision when the linker knows it.
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
