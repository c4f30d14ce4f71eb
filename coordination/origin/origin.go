// Package origin keeps which build of a service began a stream. What replicas of two builds
// write does not fit together, so a stream goes on only at a replica of the build that wrote
// its first event.
//
// The package does no I/O and reads no clock.
package origin

// Binding restricts the replicas at which a request may run to those of one build, the
// software version that wrote the first event of its stream. The zero value restricts
// nothing.
type Binding struct {
	bound bool
	build string
}

// To returns the binding to a build. Replicas that report no version form a build of their
// own, "".
func To(build string) Binding { return Binding{bound: true, build: build} }

// IsBound reports whether the binding restricts anything.
func (b Binding) IsBound() bool { return b.bound }

// Build returns the build, or false if the binding restricts nothing.
func (b Binding) Build() (string, bool) { return b.build, b.bound }

// Allows reports whether the request may run at a replica of a build.
func (b Binding) Allows(build string) bool { return !b.bound || b.build == build }
