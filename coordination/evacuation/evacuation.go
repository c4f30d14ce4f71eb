// Package evacuation tracks which data halls are drained (evacuated): their replicas get
// no new requests until the operator returns the hall to service.
//
// Unlike other operator commands a drain can be revoked, so the order of updates
// matters. A view is the complete set of drained halls at one point in the store's history.
// Of two views the later one wins, whoever sends it; older updates neither drain a hall nor
// return it. When the store comes back from a copy that lacks a drain, the drain holds on for
// a moment, until the operator has written it again. A view is small enough to be part of every
// heartbeat. The package does no I/O and reads no clock: updates and times are passed
// in, changes are returned.
package evacuation

import (
	"maps"
	"slices"
	"time"

	"quinceroad/coordination/history"
)

// Entry is the start or end of a hall's drain at a revision of the store.
type Entry struct {
	Hall     string
	Revision uint64 // within the era of the point that comes with it
	Deleted  bool   // the hall is returned to service
}

// Return is a hall that was returned to service.
type Return struct {
	Hall string
	Age  time.Duration
}

// Update is a view as instances send it to each other.
type Update struct {
	At       history.Point // of the view; zero: none was read
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
	at       history.Point
	drained  map[string]bool          // as the store says
	held     map[string]time.Duration // drains that the store's copy lacks, and until when they hold on
	returned map[string]time.Duration // local time at which the return was first known
}

// New returns an empty view.
func New() *View {
	return &View{drained: make(map[string]bool), held: make(map[string]time.Duration), returned: make(map[string]time.Duration)}
}

// At returns the point in the store's history of the view.
func (v *View) At() history.Point { return v.at }

// IsDrained reports whether a hall is drained.
func (v *View) IsDrained(hall string) bool {
	_, held := v.held[hall]
	return held || v.drained[hall]
}

// Halls returns the names of the drained halls, sorted.
func (v *View) Halls() []string {
	all := slices.Collect(maps.Keys(v.drained))
	all = slices.AppendSeq(all, maps.Keys(v.held))
	slices.Sort(all)
	return slices.Compact(all)
}

// ReturnedAt returns when a hall was returned to service, if that was recently.
func (v *View) ReturnedAt(hall string) (time.Duration, bool) {
	at, ok := v.returned[hall]
	return at, ok
}

// Replace sets the drained halls to the complete set read at a point and returns the changes.
func (v *View) Replace(now time.Duration, halls []string, at history.Point) []Change {
	if !at.After(v.at) {
		return nil
	}
	if !v.at.IsZero() && at.Era > v.at.Era {
		for hall := range v.drained {
			v.held[hall] = now + heldDrainTTL
		}
	}
	next := make(map[string]bool, len(halls))
	for _, hall := range halls {
		next[hall] = true
	}
	return v.setHalls(now, next, at)
}

// heldDrainTTL is the time for which a drain that the store's copy lacks holds on. Operators
// write such orders again within seconds.
const heldDrainTTL = 5 * time.Second

// Expire ends the drains that the store's copy lacks and that were not ordered again.
func (v *View) Expire(now time.Duration) []Change {
	var out []Change
	for _, hall := range slices.Sorted(maps.Keys(v.held)) {
		if now < v.held[hall] {
			continue
		}
		delete(v.held, hall)
		if !v.drained[hall] {
			v.returned[hall] = now
			out = append(out, Change{Hall: hall})
		}
	}
	return out
}

// Apply applies the changes from a watch in their order. The view is complete up to
// the point afterwards. Changes of another era than the view's are ignored.
func (v *View) Apply(now time.Duration, entries []Entry, at history.Point) []Change {
	if at.Era != v.at.Era {
		return nil
	}
	next := maps.Clone(v.drained)
	for _, e := range entries {
		switch {
		case e.Revision <= v.at.Revision:
		case e.Deleted:
			delete(next, e.Hall)
			v.endHeld(e.Hall)
		default:
			next[e.Hall] = true
		}
	}
	return v.setHalls(now, next, history.Latest(at, v.at))
}

// endHeld ends a drain that the store's copy lacks, as the operator has ended it.
func (v *View) endHeld(hall string) {
	if _, held := v.held[hall]; held {
		delete(v.held, hall)
		v.drained[hall] = true // for setHalls to find the change
	}
}

// Merge merges another instance's view.
func (v *View) Merge(now time.Duration, u Update) []Change {
	changes := v.Replace(now, u.Drained, u.At)
	for _, r := range u.Returned {
		if _, known := v.returned[r.Hall]; !known && !v.IsDrained(r.Hall) && r.Age < returnTTL {
			v.returned[r.Hall] = now - r.Age
		}
	}
	return changes
}

func (v *View) setHalls(now time.Duration, next map[string]bool, at history.Point) []Change {
	var out []Change
	for hall := range next {
		if !v.IsDrained(hall) {
			out = append(out, Change{Hall: hall, Drained: true})
			delete(v.returned, hall)
		}
	}
	for hall := range v.drained {
		if _, held := v.held[hall]; !next[hall] && !held {
			out = append(out, Change{Hall: hall})
			v.returned[hall] = now
		}
	}
	v.drained, v.at = next, at
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
	u := Update{At: v.at, Drained: slices.Sorted(maps.Keys(v.drained))}
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
