// Package evacuation tracks which data halls are drained (evacuated): their replicas get
// no new requests until the operator returns the hall to service.
//
// Unlike other operator commands a drain can be revoked, so the order of updates
// matters. A view is the complete set of drained halls at one revision of the store. Of
// two views the one with the higher revision wins, whoever sends it; older updates
// neither drain a hall nor return it. A view is small enough to be part of every
// heartbeat. The package does no I/O and reads no clock: updates and times are passed
// in, changes are returned.
package evacuation

import (
	"maps"
	"slices"
	"time"
)

// Entry is the start or end of a hall's drain at a revision of the store.
type Entry struct {
	Hall     string
	Revision uint64
	Deleted  bool // the hall is returned to service
}

// Return is a hall that was returned to service.
type Return struct {
	Hall string
	Age  time.Duration
}

// Update is a view as instances send it to each other.
type Update struct {
	Revision uint64 // store revision of the view; 0: none was read
	Drained  []string
	Returned []Return // recently returned halls, so that newly started instances learn of them too
}

// Change is the start or end of a hall's drain.
type Change struct {
	Hall    string
	Drained bool
}

// View holds the drained halls as known to an instance. It is not safe for concurrent
// use.
type View struct {
	revision uint64
	drained  map[string]bool
	returned map[string]time.Duration // local time at which the return was first known
}

// New returns an empty view.
func New() *View {
	return &View{drained: make(map[string]bool), returned: make(map[string]time.Duration)}
}

// Revision returns the store revision of the view.
func (v *View) Revision() uint64 { return v.revision }

// IsDrained reports whether a hall is drained.
func (v *View) IsDrained(hall string) bool { return v.drained[hall] }

// Halls returns the names of the drained halls, sorted.
func (v *View) Halls() []string { return slices.Sorted(maps.Keys(v.drained)) }

// ReturnedAt returns when a hall was returned to service, if that was recently.
func (v *View) ReturnedAt(hall string) (time.Duration, bool) {
	at, ok := v.returned[hall]
	return at, ok
}

// Replace sets the drained halls to the complete set read at a store revision and
// returns the changes.
func (v *View) Replace(now time.Duration, halls []string, revision uint64) []Change {
	if revision <= v.revision {
		return nil
	}
	next := make(map[string]bool, len(halls))
	for _, hall := range halls {
		next[hall] = true
	}
	return v.setHalls(now, next, revision)
}

// Apply applies the changes from a watch in their order. The view is complete up to
// revision at afterwards.
func (v *View) Apply(now time.Duration, entries []Entry, at uint64) []Change {
	next := maps.Clone(v.drained)
	for _, e := range entries {
		switch {
		case e.Revision <= v.revision:
		case e.Deleted:
			delete(next, e.Hall)
		default:
			next[e.Hall] = true
		}
	}
	return v.setHalls(now, next, max(at, v.revision))
}

// Merge merges another instance's view.
func (v *View) Merge(now time.Duration, u Update) []Change {
	changes := v.Replace(now, u.Drained, u.Revision)
	for _, r := range u.Returned {
		if _, known := v.returned[r.Hall]; !known && !v.drained[r.Hall] && r.Age < returnTTL {
			v.returned[r.Hall] = now - r.Age
		}
	}
	return changes
}

func (v *View) setHalls(now time.Duration, next map[string]bool, revision uint64) []Change {
	var out []Change
	for hall := range next {
		if !v.drained[hall] {
			out = append(out, Change{Hall: hall, Drained: true})
			delete(v.returned, hall)
		}
	}
	for hall := range v.drained {
		if !next[hall] {
			out = append(out, Change{Hall: hall})
			v.returned[hall] = now
		}
	}
	v.drained, v.revision = next, revision
	slices.SortFunc(out, func(a, b Change) int {
		if a.Hall < b.Hall {
			return -1
		}
		return 1
	})
	return out
}

// returnTTL is how long a return is kept and sent: longer than replicas warm up after
// it.
const returnTTL = time.Minute

// Update returns the view to send to other instances and drops expired returns.
func (v *View) Update(now time.Duration) Update {
	u := Update{Revision: v.revision, Drained: v.Halls()}
	for _, hall := range slices.Sorted(maps.Keys(v.returned)) {
		age := now - v.returned[hall]
		if age >= returnTTL {
			delete(v.returned, hall)
			continue
		}
		u.Returned = append(u.Returned, Return{Hall: hall, Age: age})
	}
	return u
}
