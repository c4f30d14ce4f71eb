// Package history orders points in the history of the platform's store. The store counts its
// changes by revisions. When it comes back from a copy it lacks its newest changes, and gives
// their revisions out again for others; its era then rises. A revision alone therefore says
// nothing about what came first.
//
// The package does no I/O and reads no clock.
package history

import "cmp"

// Point is a point in the store's history. Points can't be compared with < by mistake.
type Point struct {
	Era      uint64 // 0: the store states none
	Revision uint64 // within the era; 0: before all changes
}

// Compare returns -1 if p is before q, 1 if it is after q, and 0 if they are the same.
func (p Point) Compare(q Point) int {
	return cmp.Or(cmp.Compare(p.Era, q.Era), cmp.Compare(p.Revision, q.Revision))
}

// Before reports whether p is before q.
func (p Point) Before(q Point) bool { return p.Compare(q) < 0 }

// After reports whether p is after q.
func (p Point) After(q Point) bool { return p.Compare(q) > 0 }

// IsZero reports whether p is before all changes.
func (p Point) IsZero() bool { return p == Point{} }

// Latest returns the later of two points.
func Latest(p, q Point) Point {
	if p.Before(q) {
		return q
	}
	return p
}
