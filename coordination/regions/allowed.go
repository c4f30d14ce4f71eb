package regions

import "slices"

// Allowed is the set of regions that may serve and keep a request. The zero
// value allows all, also halls that nobody can place.
type Allowed struct {
	bound bool
	names []string
}

// Bind returns what all of the given lists allow; an empty list binds nothing.
func Intersect(lists ...[]string) Allowed {
	var a Allowed
	for _, list := range lists {
		switch {
		case len(list) == 0:
		case !a.bound:
			a = Allowed{bound: true, names: slices.Clone(list)}
		default:
			a.names = slices.DeleteFunc(a.names, func(name string) bool { return !slices.Contains(list, name) })
		}
	}
	return a
}

// Bound reports whether some regions may not serve.
func (a Allowed) IsRestricted() bool { return a.bound }

// Has reports whether a region may serve; one that is not known may not where
// any is named.
func (a Allowed) Allows(region string) bool {
	return !a.bound || region != "" && slices.Contains(a.names, region)
}

// Names returns the regions that may serve; nil where all may.
func (a Allowed) Names() []string { return a.names }
