package buildlog

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

const (
	service = "llm"
	route   = Route("h/0007/")
	route2  = Route("h/0008/") // another one
)

// entry returns a complete entry with the route.
func entry(era, revision uint64, builds ...string) Entry {
	return Entry{Builds: builds, Routes: []Route{route}, Era: era, Revision: revision}
}

func snapshot(era uint64, e Entry) *Snapshot {
	return &Snapshot{Entries: map[string]Entry{service: e}, Era: era}
}

func want(builds ...string) Wanted { return Wanted{Builds: builds, Routes: []Route{route}} }

func always(w Wanted) func(string) Wanted { return func(string) Wanted { return w } }

func TestSole(t *testing.T) {
	incomplete := entry(1, 5, "v1")
	incomplete.Incomplete = true
	retiring := entry(1, 5, "v1", "v2")
	retiring.Retiring.Builds = []string{"v2"}
	otherRoute := entry(1, 5, "v1")
	otherRoute.Routes = []Route{route2}
	tests := []struct {
		name string
		s    *Snapshot
		want bool
	}{
		{"one build", snapshot(1, entry(1, 5, "v1")), true},
		{"one build in a store that states no era", snapshot(0, entry(0, 5, "v1")), true},
		{"no answer's entries", &Snapshot{Era: 1}, false},
		{"another service's", &Snapshot{Entries: map[string]Entry{"x": entry(1, 5, "v1")}, Era: 1}, false},
		{"incomplete", snapshot(1, incomplete), false},
		{"two builds", snapshot(1, entry(1, 5, "v1", "v2")), false},
		{"one stays, one retires", snapshot(1, retiring), false},
		{"no build", snapshot(1, entry(1, 5)), false},
		{"another route", snapshot(1, otherRoute), false},
		{"earlier era", snapshot(2, entry(1, 5, "v1")), false},
		{"later era", snapshot(1, entry(2, 5, "v1")), false},
		{"answer without an era", snapshot(0, entry(1, 5, "v1")), false},
		{"entry without an era", snapshot(1, entry(0, 5, "v1")), false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			build, ok := tt.s.Sole(service, route)
			is.Equal(ok, tt.want)
			is.Equal(build == "v1", tt.want)
		})
	}
}

// A stream may have begun on a route that has gone, or that a longer one has taken requests
// from: its request falls to the other one now.
func TestSoleOfOverlappingRoutes(t *testing.T) {
	is := is.New(t)
	outer, inner, beside := RouteOf("h", "/a/"), RouteOf("h", "/a/b/"), RouteOf("h", "/ab/")
	complete := func(revision uint64, build string, routes ...Route) Entry {
		return Entry{Builds: []string{build}, Routes: routes, Revision: revision}
	}
	s := &Snapshot{Entries: map[string]Entry{"one": complete(1, "v1", outer, beside), "two": complete(2, "w9", inner), "three": complete(3, "x", RouteOf("h2", "/a/"))}}
	for service, route := range map[string]Route{"one": outer, "two": inner} {
		_, sole := s.Sole(service, route)
		is.True(!sole)
	}
	for service, route := range map[string]Route{"one": beside, "three": RouteOf("h2", "/a/")} {
		_, sole := s.Sole(service, route)
		is.True(sole)
	}
	l := New()
	l.Observe(s)
	is.True(l.HasSeveral("one") && l.HasSeveral("two") && !l.HasSeveral("three"))
}

func TestSoleOfARouteThatHasMoved(t *testing.T) {
	is := is.New(t)
	s := snapshot(1, entry(1, 5, "v1"))
	s.Entries["old"] = entry(1, 4, "v1")
	_, ok := s.Sole(service, route)
	is.True(!ok) // builds of two services have the same name

	old := entry(1, 6, "v1")
	old.Retiring.Routes = old.Routes
	s.Entries["old"] = old
	_, ok = s.Sole(service, route)
	is.True(!ok) // until it has left

	s.Entries["old"] = Entry{Builds: []string{"v1"}, Era: 1, Revision: 7}
	_, ok = s.Sole(service, route)
	is.True(ok)
}

func TestMissingCreates(t *testing.T) {
	is := is.New(t)
	s := &Snapshot{Era: 3}
	e, ok := s.Missing(service, want("v1"), false)
	is.True(ok)
	is.True(e.Incomplete)
	is.Equal([]uint64{e.Era, e.Revision}, []uint64{3, 0}) // the write's condition: absent
	e, ok = s.Missing(service, want("v2", "v1"), true)
	is.True(ok)
	is.True(!e.Incomplete)
	is.Equal(e.Builds, []string{"v1", "v2"})
}

func TestMissingAdds(t *testing.T) {
	is := is.New(t)
	known := entry(1, 5, "v2")
	s := snapshot(1, known)
	_, ok := s.Missing(service, want("v2"), false)
	is.True(!ok)
	e, ok := s.Missing(service, want("v1"), true)
	is.True(ok)
	is.Equal(e, entry(1, 5, "v1", "v2")) // stays complete
	is.Equal(s.Entries[service], known)  // as it was
	e, ok = s.Missing(service, Wanted{Routes: []Route{"h/0003/"}}, false)
	is.True(ok)
	is.Equal(e.Routes, []Route{"h/0003/", route})

	s = snapshot(2, entry(1, 5, "v2"))
	e, ok = s.Missing(service, want("v2"), true)
	is.True(ok)
	is.True(e.Incomplete) // even for the first instance
	is.Equal([]uint64{e.Era, e.Revision}, []uint64{2, 5})
}

func TestMissingBringsBackWhatRetires(t *testing.T) {
	is := is.New(t)
	marked := entry(1, 5, "v1", "v2")
	marked.Retiring = Wanted{[]string{"v1", "v2"}, []Route{route}}
	e, ok := snapshot(1, marked).Missing(service, want("v2"), false)
	is.True(ok)
	is.Equal(e.Retiring.Builds, []string{"v1"})
	is.Equal(len(e.Retiring.Routes), 0)
	is.Equal(e.Builds, []string{"v1", "v2"})

	marked = entry(1, 5, "v1")
	marked.Retiring.Routes = marked.Routes
	e, ok = snapshot(1, marked).Missing(service, want("v1"), false)
	is.True(ok)
	is.Equal(len(e.Retiring.Routes), 0)
}

func TestMissingIsBounded(t *testing.T) {
	is := is.New(t)
	full := entry(1, 5)
	for i := range MaxBuilds {
		full.Builds = append(full.Builds, fmt.Sprintf("v%04d", i))
	}
	_, ok := snapshot(1, full).Missing(service, want("v0000", "a"), false)
	is.True(!ok) // it would be the same
	w := want("v0000", "a")
	w.Routes = append(w.Routes, route2)
	e, ok := snapshot(1, full).Missing(service, w, false)
	is.True(ok)
	is.Equal(e.Builds, full.Builds) // others rely on those
	is.Equal(e.Routes, []Route{route, route2})
	l := New()
	l.Want(service, want("v0000", "a"))
	l.Observe(snapshot(1, e))
	is.True(l.Contains(service, "v0000", route))
	is.True(!l.Contains(service, "a", route))
	is.True(l.HasSeveral(service))
	for i := range MaxRoutes {
		full.Routes = append(full.Routes, Route(fmt.Sprintf("h/1%04d/", i)))
	}
	full.Routes = full.Routes[1:]
	_, ok = snapshot(1, full).Missing(service, Wanted{Routes: []Route{"h/0001/"}}, false)
	is.True(!ok)
}

func TestContainsOnlyWhatWasAnswered(t *testing.T) {
	is := is.New(t)
	l := New()
	is.True(!l.Contains(service, "v1", route))
	is.True(l.HasSeveral(service)) // nothing is known
	l.Want(service, want("v1"))
	l.Observe(snapshot(2, entry(2, 5, "v1")))
	is.True(l.Contains(service, "v1", route))
	is.True(!l.Contains(service, "v1", route2))
	is.True(!l.Contains(service, "v2", route))
	is.True(!l.Contains("x", "v1", route))
	is.True(!l.HasSeveral(service))
	w, other := want("v1"), want("v1", "v2")
	is.True(l.Covers(service, w))
	is.True(!l.Covers(service, other))
}

func TestErasOfTheStore(t *testing.T) {
	is := is.New(t)
	l := New()
	l.Want(service, want("v1", "v2"))
	l.Observe(snapshot(2, entry(2, 5, "v1")))
	l.Observe(snapshot(1, entry(1, 9, "v1", "v2"))) // falls
	l.Observe(snapshot(0, entry(0, 9, "v1", "v2"))) // absent
	l.ObserveEra(0)
	l.ObserveEra(1)
	is.True(!l.Contains(service, "v2", route))
	is.True(l.Contains(service, "v1", route))

	l.ObserveEra(3) // rises
	is.True(!l.Contains(service, "v1", route))
	is.True(l.HasSeveral(service))
	l.Observe(snapshot(2, entry(2, 5, "v1"))) // a late answer of the earlier one
	is.True(!l.Contains(service, "v1", route))
	l.Observe(snapshot(3, entry(2, 4, "v1"))) // not rewritten yet
	is.True(!l.Contains(service, "v1", route))
	is.True(l.HasSeveral(service))
	l.Observe(snapshot(3, entry(3, 5, "v1")))
	is.True(l.Contains(service, "v1", route))
}

func TestLateAnswers(t *testing.T) {
	is := is.New(t)
	l := New()
	l.Want(service, want("v1", "v2"))
	l.Observe(snapshot(1, entry(1, 6, "v1")))
	l.Observe(snapshot(1, entry(1, 5, "v1", "v2")))
	is.True(!l.Contains(service, "v2", route)) // an entry that is older than the known one
	is.True(!l.HasSeveral(service))
}

// The newest entry counts, not the sum of all.
func TestConfirmedEndsWithTheEntry(t *testing.T) {
	is := is.New(t)
	l := New()
	l.Want(service, want("v1", "v2"))
	l.Observe(snapshot(1, entry(1, 5, "v1", "v2")))
	is.True(l.Contains(service, "v2", route))
	marked := entry(1, 6, "v1", "v2")
	marked.Retiring.Builds = []string{"v2"}
	l.Observe(snapshot(1, marked))
	is.True(!l.Contains(service, "v2", route)) // it may have left before the stream begins
	l.Observe(snapshot(1, entry(1, 7, "v1", "v2")))
	is.True(l.Contains(service, "v2", route)) // the mark was taken back
	l.Observe(snapshot(1, entry(1, 8, "v1")))
	is.True(!l.Contains(service, "v2", route))
	is.True(l.Contains(service, "v1", route))
}

func TestOnlyWhatIsWantedIsConfirmed(t *testing.T) {
	is := is.New(t)
	l := New()
	l.Want(service, want("v1"))
	l.Observe(snapshot(1, entry(1, 5, "v1", "v2")))
	l.Want(service, want("v1", "v2"))
	is.True(!l.Contains(service, "v2", route)) // the read began before
	is.True(l.Wants(service, want("v2")))
	is.True(!l.Wants(service, want("v3")))
}

func TestConfirmedByPeers(t *testing.T) {
	peer := New()
	peer.Want(service, want("v1", "v2"))
	peer.Observe(snapshot(2, entry(2, 5, "v1", "v3")))
	tests := []struct {
		name   string
		wanted Wanted
		era    uint64 // that is known already
		want   bool   // v1 is confirmed
	}{
		{"wanted", want("v1", "v2", "v3"), 2, true},
		{"of a later era than known", want("v1"), 1, true},
		{"of an earlier era than known", want("v1"), 3, false},
		{"not wanted", want("v2"), 2, false},
		{"another route", Wanted{Builds: []string{"v1"}}, 2, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			l := New()
			l.ObserveEra(tt.era)
			l.Want(service, tt.wanted)
			l.ObserveConfirmed(peer.Confirmed())
			is.Equal(l.Contains(service, "v1", route), tt.want)
			is.True(!l.Contains(service, "v2", route)) // not in the log
			is.True(!l.Contains(service, "v3", route)) // not wanted by the peer
			is.True(l.HasSeveral(service))             // it proves nothing of other builds
		})
	}
}

func TestBackAgainIsConfirmedAnew(t *testing.T) {
	is := is.New(t)
	l := New()
	l.Want(service, want("v1", "v2"))
	l.Observe(snapshot(1, entry(1, 5, "v1", "v2")))
	both, one := want("v1", "v2"), want("v1")
	l.Want(service, one)
	l.Want(service, both)
	is.True(!l.Contains(service, "v2", route))
	is.True(l.Contains(service, "v1", route))
	noRoute := Wanted{Builds: both.Builds}
	l.Want(service, noRoute)
	is.True(!l.Contains(service, "v1", route))
	l.Want(service, both)
	l.Observe(snapshot(1, entry(1, 5, "v1", "v2")))
	is.True(l.Contains(service, "v2", route))
}
