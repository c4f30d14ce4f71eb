package process

import "runtime/debug"

const revisionLength = 12 // signs of a commit that name it

// Build names the binary: the product's version, and the commit where the
// toolchain has noted one.
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
