package evacuation

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

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
			if v.Revision() < before {
				t.Fatalf("instance %d falls from revision %d to %d", i, before, v.Revision())
			}
			if v.Revision() > 0 && !slices.Equal(v.Halls(), s.stateAt[v.Revision()]) {
				t.Fatalf("instance %d holds %v at revision %d, where %v was true", i, v.Halls(), v.Revision(), s.stateAt[v.Revision()])
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
				before := views[i].Revision()
				views[i].Replace(now, s.stateAt[s.revision], s.revision)
				check(i, before)
			},
			"watch": func(t *rapid.T) {
				i := anyView.Draw(t, "who")
				before := views[i].Revision()
				if before == 0 {
					return // it has not read the store yet
				}
				from := rapid.Uint64Range(1, before).Draw(t, "from") // possibly from an earlier time as reader
				views[i].Apply(now, s.after(from), s.revision)
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
				before := views[i].Revision()
				views[i].Merge(now, rapid.SampledFrom(sent).Draw(t, "update"))
				check(i, before)
			},
			"restart": func(t *rapid.T) { views[anyView.Draw(t, "who")] = New() },
		})
		views[0].Replace(now, s.stateAt[s.revision], s.revision)
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
	is.Equal(v.Replace(0, []string{"b", "a"}, 7), []Change{{"a", true}, {"b", true}})
	is.Equal(len(v.Replace(0, nil, 7)), 0)                                            // same revision as the view's
	is.Equal(len(v.Apply(0, []Entry{{Hall: "a", Revision: 6, Deleted: true}}, 9)), 0) // older
	is.Equal(v.Apply(0, []Entry{{"a", 10, true}, {"b", 11, true}, {"b", 12, false}}, 12), []Change{{"a", false}})
	is.Equal(v.Halls(), []string{"b"})
}

// An instance that starts after a hall was returned learns when that was; repeated
// updates must not change that time.
func TestNewInstanceLearnsReturn(t *testing.T) {
	is := is.New(t)
	a := New()
	a.Replace(0, []string{"h"}, 1)
	a.Replace(10*time.Second, nil, 2)
	b := New()
	b.Merge(time.Second, a.Update(12*time.Second)) // b's clock started later
	at, ok := b.ReturnedAt("h")
	is.True(ok)
	is.Equal(at, -time.Second)
	for i := range 50 {
		b.Merge(time.Duration(i)*time.Second, Update{Revision: 2, Returned: []Return{{"h", time.Second}}})
	}
	at, _ = b.ReturnedAt("h")
	is.Equal(at, -time.Second)
	is.Equal(len(b.Update(2*time.Minute).Returned), 0) // expired
	b.Replace(0, []string{"h"}, 9)
	_, ok = b.ReturnedAt("h")
	is.True(!ok) // drained again
}

func BenchmarkUpdate(b *testing.B) {
	v := New()
	for i := range 9 {
		v.Apply(0, []Entry{{Hall: fmt.Sprint("hall-", i), Revision: uint64(i + 1)}}, uint64(i+1))
	}
	for b.Loop() {
		New().Merge(0, v.Update(0))
	}
}
