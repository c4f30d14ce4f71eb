// Package evacuation keeps which data halls are being emptied: their replicas
// get nothing new until the operator takes the hall back.
//
// It is the only news of the operator's that is taken back, so its order
// matters. A view is what was true at one revision of the store, whole: of two
// views the one of the higher revision wins, whoever tells it, and an older
// word neither empties a hall nor gives one back. It is small enough to stand
// in every heartbeat. It is pure: news and time in, changes out.
package evacuation

import (
	"maps"
	"slices"
	"time"
)

// Entry is the operator's word on a hall, or its end, at a revision of the store.
type Entry struct {
	Hall     string
	Revision uint64
	Gone     bool // the hall is taken back
}

// Return is a hall that was taken back.
type Return struct {
	Hall string
	Age  time.Duration
}

// News is a view as instances tell it each other.
type Update struct {
	Revision uint64 // of the store, at which the view was true; 0: nothing is known
	Drained  []string
	Returned []Return // lately, so that who starts knows it too
}

// Change is a hall whose evacuation begins or ends.
type Change struct {
	Hall    string
	Drained bool
}

// View is what an instance knows. It is not safe for concurrent use.
type View struct {
	revision uint64
	emptied  map[string]bool
	returned map[string]time.Duration // when, as it was heard first
}

// New returns a view that knows nothing.
func New() *View {
	return &View{emptied: make(map[string]bool), returned: make(map[string]time.Duration)}
}

// Revision is that of the store at which the view was true.
func (v *View) Revision() uint64 { return v.revision }

// Emptied reports whether a hall is being emptied.
func (v *View) IsDrained(hall string) bool { return v.emptied[hall] }

// Halls returns the halls that are being emptied, by name.
func (v *View) Halls() []string { return slices.Sorted(maps.Keys(v.emptied)) }

// Returned returns when a hall was taken back, if it was lately.
func (v *View) ReturnedAt(hall string) (time.Duration, bool) {
	at, ok := v.returned[hall]
	return at, ok
}

// Replace takes in the halls that are emptied as they were read whole at a
// revision, and returns what that changes.
func (v *View) Replace(now time.Duration, halls []string, revision uint64) []Change {
	if revision <= v.revision {
		return nil
	}
	next := make(map[string]bool, len(halls))
	for _, hall := range halls {
		next[hall] = true
	}
	return v.become(now, next, revision)
}

// Apply takes in the changes that a watch brought, in their order, after which
// all up to a revision is known.
func (v *View) Apply(now time.Duration, entries []Entry, at uint64) []Change {
	next := maps.Clone(v.emptied)
	for _, e := range entries {
		switch {
		case e.Revision <= v.revision:
		case e.Gone:
			delete(next, e.Hall)
		default:
			next[e.Hall] = true
		}
	}
	return v.become(now, next, max(at, v.revision))
}

// Take takes in what another instance tells.
func (v *View) Merge(now time.Duration, n Update) []Change {
	changes := v.Replace(now, n.Drained, n.Revision)
	for _, r := range n.Returned {
		if _, known := v.returned[r.Hall]; !known && !v.emptied[r.Hall] && r.Age < tellFor {
			v.returned[r.Hall] = now - r.Age
		}
	}
	return changes
}

func (v *View) become(now time.Duration, next map[string]bool, revision uint64) []Change {
	var out []Change
	for hall := range next {
		if !v.emptied[hall] {
			out = append(out, Change{Hall: hall, Drained: true})
			delete(v.returned, hall)
		}
	}
	for hall := range v.emptied {
		if !next[hall] {
			out = append(out, Change{Hall: hall})
			v.returned[hall] = now
		}
	}
	v.emptied, v.revision = next, revision
	slices.SortFunc(out, func(a, b Change) int {
		if a.Hall < b.Hall {
			return -1
		}
		return 1
	})
	return out
}

// tellFor is how long a return is told and kept: longer than replicas stay cold
// after it.
const tellFor = time.Minute

// News returns the view for others.
func (v *View) Update(now time.Duration) Update {
	n := Update{Revision: v.revision, Drained: v.Halls()}
	for _, hall := range slices.Sorted(maps.Keys(v.returned)) {
		ago := now - v.returned[hall]
		if ago >= tellFor {
			delete(v.returned, hall)
			continue
		}
		n.Returned = append(n.Returned, Return{Hall: hall, Age: ago})
	}
	return n
}
