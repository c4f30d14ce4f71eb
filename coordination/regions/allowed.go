package regions

import "slices"

// Allowed is the set of regions that may serve and store a request. The zero
// value allows all regions, including halls of unknown region.
type Allowed struct {
	restricted bool
	names      []string
}

// Intersect returns the regions that all of the given lists allow; an empty
// list doesn't restrict.
func Intersect(lists ...[]string) Allowed {
	var a Allowed
	for _, list := range lists {
		switch {
		case len(list) == 0:
		case !a.restricted:
			a = Allowed{restricted: true, names: slices.Clone(list)}
		default:
			a.names = slices.DeleteFunc(a.names, func(name string) bool { return !slices.Contains(list, name) })
		}
	}
	return a
}

// IsRestricted reports whether only some regions are allowed.
func (a Allowed) IsRestricted() bool { return a.restricted }

// Allows reports whether a region may serve the request. An unknown region ("")
// is not allowed if there is any restriction.
func (a Allowed) Allows(region string) bool {
	return !a.restricted || region != "" && slices.Contains(a.names, region)
}

// Names returns the allowed regions; nil if all are allowed.
func (a Allowed) Names() []string { return a.names }
