package evacuation

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"quinceroad/coordination/history"
)

// pointAt returns a point in the history of a store that states no era.
func pointAt(revision uint64) history.Point { return history.Point{Revision: revision} }

// store models the platform's store: a revision counter, the drained halls, and their
// state at each revision.
type store struct {
	revision uint64
	drained  map[string]bool
	history  []Entry
	stateAt  map[uint64][]string
}

func newStore() *store {
	s := &store{drained: make(map[string]bool), stateAt: make(map[uint64][]string)}
	s.change(func() {})
	return s
}

func (s *store) change(f func()) {
	s.revision++
	f()
	s.stateAt[s.revision] = slices.Sorted(maps.Keys(s.drained))
}

func (s *store) write(hall string, returned bool) {
	s.change(func() {
		if returned && !s.drained[hall] {
			return
		}
		s.drained[hall] = true
		if returned {
			delete(s.drained, hall)
		}
		s.history = append(s.history, Entry{Hall: hall, Revision: s.revision, Deleted: returned})
	})
}

func (s *store) after(revision uint64) []Entry {
	return slices.DeleteFunc(slices.Clone(s.history), func(e Entry) bool { return e.Revision <= revision })
}

// Instances read, watch, restart and exchange updates, which may be late, repeated,
// reordered or lost. Each view must match the store at the revision it claims, never go
// back to an older revision, and reach the latest state in the end.
func TestViewsMatchTheirRevision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newStore()
		views := make([]*View, 4)
		for i := range views {
			views[i] = New()
		}
		var sent []Update // any of these may still be delivered, repeatedly
		now := time.Duration(0)
		check := func(i int, before uint64) {
			v := views[i]
			if v.At().Revision < before {
				t.Fatalf("instance %d falls from revision %d to %d", i, before, v.At().Revision)
			}
			if v.At().Revision > 0 && !slices.Equal(v.Halls(), s.stateAt[v.At().Revision]) {
				t.Fatalf("instance %d holds %v at revision %d, where %v was true", i, v.Halls(), v.At().Revision, s.stateAt[v.At().Revision])
			}
		}
		hall := rapid.SampledFrom([]string{"a", "b", "c"})
		anyView := rapid.IntRange(0, len(views)-1)
		t.Repeat(map[string]func(*rapid.T){
			"empty":    func(t *rapid.T) { s.write(hall.Draw(t, "hall"), false) },
			"takeBack": func(t *rapid.T) { s.write(hall.Draw(t, "hall"), true) },
			"other":    func(*rapid.T) { s.change(func() {}) },
			"read": func(t *rapid.T) {
				i := anyView.Draw(t, "who")
				before := views[i].At().Revision
				views[i].Replace(now, s.stateAt[s.revision], pointAt(s.revision))
				check(i, before)
			},
			"watch": func(t *rapid.T) {
				i := anyView.Draw(t, "who")
				before := views[i].At().Revision
				if before == 0 {
					return // it has not read the store yet
				}
				from := rapid.Uint64Range(1, before).Draw(t, "from") // possibly from an earlier time as reader
				views[i].Apply(now, s.after(from), pointAt(s.revision))
				check(i, before)
			},
			"tell": func(t *rapid.T) {
				now += time.Millisecond
				sent = append(sent, views[anyView.Draw(t, "who")].Update(now))
			},
			"hear": func(t *rapid.T) {
				if len(sent) == 0 {
					return
				}
				i := anyView.Draw(t, "who")
				before := views[i].At().Revision
				views[i].Merge(now, rapid.SampledFrom(sent).Draw(t, "update"))
				check(i, before)
			},
			"restart": func(t *rapid.T) { views[anyView.Draw(t, "who")] = New() },
		})
		views[0].Replace(now, s.stateAt[s.revision], pointAt(s.revision))
		for i := range views {
			views[i].Merge(now, views[0].Update(now))
			if !slices.Equal(views[i].Halls(), s.stateAt[s.revision]) {
				t.Fatalf("instance %d holds %v in the end, not %v", i, views[i].Halls(), s.stateAt[s.revision])
			}
		}
	})
}

func TestChangesAreReportedOnce(t *testing.T) {
	is := is.New(t)
	v := New()
	is.Equal(v.Replace(0, []string{"b", "a"}, pointAt(7)), []Change{{"a", true}, {"b", true}})
	is.Equal(len(v.Replace(0, nil, pointAt(7))), 0)                                            // same revision as the view's
	is.Equal(len(v.Apply(0, []Entry{{Hall: "a", Revision: 6, Deleted: true}}, pointAt(9))), 0) // older
	is.Equal(v.Apply(0, []Entry{{"a", 10, true}, {"b", 11, true}, {"b", 12, false}}, pointAt(12)), []Change{{"a", false}})
	is.Equal(v.Halls(), []string{"b"})
}

// An instance that starts after a hall was returned learns when that was; repeated
// updates must not change that time.
func TestNewInstanceLearnsReturn(t *testing.T) {
	is := is.New(t)
	a := New()
	a.Replace(0, []string{"h"}, pointAt(1))
	a.Replace(10*time.Second, nil, pointAt(2))
	b := New()
	b.Merge(time.Second, a.Update(12*time.Second)) // b's clock started later
	at, ok := b.ReturnedAt("h")
	is.True(ok)
	is.Equal(at, -time.Second)
	for i := range 50 {
		b.Merge(time.Duration(i)*time.Second, Update{At: pointAt(2), Returned: []Return{{"h", time.Second}}})
	}
	at, _ = b.ReturnedAt("h")
	is.Equal(at, -time.Second)
	is.Equal(len(b.Update(2*time.Minute).Returned), 0) // expired
	b.Replace(0, []string{"h"}, pointAt(9))
	_, ok = b.ReturnedAt("h")
	is.True(!ok) // drained again
}

func BenchmarkUpdate(b *testing.B) {
	v := New()
	for i := range 9 {
		v.Apply(0, []Entry{{Hall: fmt.Sprint("hall-", i), Revision: uint64(i + 1)}}, pointAt(uint64(i+1)))
	}
	for b.Loop() {
		New().Merge(0, v.Update(0))
	}
}

// A drain that the store's copy lacks holds on for a moment, unless the operator ends it; a
// later revision of an earlier era changes nothing.
func TestDrainHoldsOnInTheNextEra(t *testing.T) {
	is := is.New(t)
	point := func(era, revision uint64) history.Point { return history.Point{Era: era, Revision: revision} }
	v := New()
	v.Replace(0, []string{"again", "ended", "lost"}, point(1, 50))
	is.Equal(len(v.Replace(time.Second, nil, point(2, 20))), 0)
	is.Equal(v.Halls(), []string{"again", "ended", "lost"})
	is.Equal(len(v.Update(time.Second).Drained), 0) // others get what the store says
	is.Equal(len(v.Replace(time.Second, nil, point(1, 90))), 0)
	is.Equal(len(v.Apply(time.Second, []Entry{{Hall: "lost", Revision: 91, Deleted: true}}, point(1, 91))), 0)
	changes := v.Apply(time.Second, []Entry{{Hall: "again", Revision: 21}, {Hall: "ended", Revision: 22, Deleted: true}}, point(2, 22))
	is.Equal(changes, []Change{{Hall: "ended"}})
	is.Equal(len(v.Expire(time.Second+heldDrainTTL-1)), 0)
	is.Equal(v.Expire(time.Second+heldDrainTTL), []Change{{Hall: "lost"}})
	is.Equal(v.Halls(), []string{"again"})
	is.Equal(v.At(), point(2, 22))
}
