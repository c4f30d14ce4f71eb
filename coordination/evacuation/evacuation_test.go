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

// store is a model of the platform's: a counter, the halls that are emptied and
// what they were at each revision.
type store struct {
	revision uint64
	emptied  map[string]bool
	history  []Entry
	past     map[uint64][]string
}

func newStore() *store {
	s := &store{emptied: make(map[string]bool), past: make(map[uint64][]string)}
	s.change(func() {})
	return s
}

func (s *store) change(f func()) {
	s.revision++
	f()
	s.past[s.revision] = slices.Sorted(maps.Keys(s.emptied))
}

func (s *store) write(hall string, gone bool) {
	s.change(func() {
		if gone && !s.emptied[hall] {
			return
		}
		s.emptied[hall] = true
		if gone {
			delete(s.emptied, hall)
		}
		s.history = append(s.history, Entry{Hall: hall, Revision: s.revision, Gone: gone})
	})
}

func (s *store) after(revision uint64) []Entry {
	return slices.DeleteFunc(slices.Clone(s.history), func(e Entry) bool { return e.Revision <= revision })
}

// Whatever instances read, watch and tell each other, late, twice, out of order
// or never, whoever starts anew: each holds what was true at the revision that
// it claims, goes back never, and hears of the end in the end.
func TestAllHoldWhatWasTrue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newStore()
		views := make([]*View, 4)
		for i := range views {
			views[i] = New()
		}
		var sent []Update // any of which may still come, again and again
		now := time.Duration(0)
		check := func(i int, before uint64) {
			v := views[i]
			if v.Revision() < before {
				t.Fatalf("instance %d falls from revision %d to %d", i, before, v.Revision())
			}
			if v.Revision() > 0 && !slices.Equal(v.Halls(), s.past[v.Revision()]) {
				t.Fatalf("instance %d holds %v at revision %d, where %v was true", i, v.Halls(), v.Revision(), s.past[v.Revision()])
			}
		}
		hall := rapid.SampledFrom([]string{"a", "b", "c"})
		who := rapid.IntRange(0, len(views)-1)
		t.Repeat(map[string]func(*rapid.T){
			"empty":    func(t *rapid.T) { s.write(hall.Draw(t, "hall"), false) },
			"takeBack": func(t *rapid.T) { s.write(hall.Draw(t, "hall"), true) },
			"other":    func(*rapid.T) { s.change(func() {}) },
			"read": func(t *rapid.T) {
				i := who.Draw(t, "who")
				before := views[i].Revision()
				views[i].Replace(now, s.past[s.revision], s.revision)
				check(i, before)
			},
			"watch": func(t *rapid.T) {
				i := who.Draw(t, "who")
				before := views[i].Revision()
				if before == 0 {
					return // it has read nothing yet
				}
				from := rapid.Uint64Range(1, before).Draw(t, "from") // of an earlier turn as a reader, perhaps
				views[i].Apply(now, s.after(from), s.revision)
				check(i, before)
			},
			"tell": func(t *rapid.T) {
				now += time.Millisecond
				sent = append(sent, views[who.Draw(t, "who")].Update(now))
			},
			"hear": func(t *rapid.T) {
				if len(sent) == 0 {
					return
				}
				i := who.Draw(t, "who")
				before := views[i].Revision()
				views[i].Merge(now, rapid.SampledFrom(sent).Draw(t, "news"))
				check(i, before)
			},
			"restart": func(t *rapid.T) { views[who.Draw(t, "who")] = New() },
		})
		views[0].Replace(now, s.past[s.revision], s.revision)
		for i := range views {
			views[i].Merge(now, views[0].Update(now))
			if !slices.Equal(views[i].Halls(), s.past[s.revision]) {
				t.Fatalf("instance %d holds %v in the end, not %v", i, views[i].Halls(), s.past[s.revision])
			}
		}
	})
}

func TestChangesAreToldOnce(t *testing.T) {
	is := is.New(t)
	v := New()
	is.Equal(v.Replace(0, []string{"b", "a"}, 7), []Change{{"a", true}, {"b", true}})
	is.Equal(len(v.Replace(0, nil, 7)), 0)                                         // as old as what is known
	is.Equal(len(v.Apply(0, []Entry{{Hall: "a", Revision: 6, Gone: true}}, 9)), 0) // older
	is.Equal(v.Apply(0, []Entry{{"a", 10, true}, {"b", 11, true}, {"b", 12, false}}, 12), []Change{{"a", false}})
	is.Equal(v.Halls(), []string{"b"})
}

// Who starts after a hall was taken back knows since when; what is told again
// and again makes it no younger.
func TestAReturnIsToldToWhoStarts(t *testing.T) {
	is := is.New(t)
	a := New()
	a.Replace(0, []string{"h"}, 1)
	a.Replace(10*time.Second, nil, 2)
	b := New()
	b.Merge(time.Second, a.Update(12*time.Second)) // whose clock began later
	at, ok := b.ReturnedAt("h")
	is.True(ok)
	is.Equal(at, -time.Second)
	for i := range 50 {
		b.Merge(time.Duration(i)*time.Second, Update{Revision: 2, Returned: []Return{{"h", time.Second}}})
	}
	at, _ = b.ReturnedAt("h")
	is.Equal(at, -time.Second)
	is.Equal(len(b.Update(2*time.Minute).Returned), 0) // and is forgotten
	b.Replace(0, []string{"h"}, 9)
	_, ok = b.ReturnedAt("h")
	is.True(!ok) // emptied again
}

func BenchmarkNews(b *testing.B) {
	v := New()
	for i := range 9 {
		v.Apply(0, []Entry{{Hall: fmt.Sprint("hall-", i), Revision: uint64(i + 1)}}, uint64(i+1))
	}
	for b.Loop() {
		New().Merge(0, v.Update(0))
	}
}
