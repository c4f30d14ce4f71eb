package process

import "runtime/debug"

const revisionLength = 12 // characters of the abbreviated commit hash

// BuildVersion returns the product's version, followed by the abbreviated commit hash if
// the Go toolchain has recorded it in the binary.
func BuildVersion() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return Version
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" && len(s.Value) >= revisionLength {
			return Version + " " + s.Value[:revisionLength]
		}
	}
	return Version
}
