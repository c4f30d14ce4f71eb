package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func member(name string, inc uint64) Member {
	return Member{Name: name, Hall: "h", Incarnation: inc}
}

func TestReplacedUnderSameName(t *testing.T) {
	is := is.New(t)
	v := New(member("a", 1))
	is.True(v.Merge(0, member("b", 5)))
	old := member("b", 4)
	old.Leaving = true
	is.True(!v.Merge(0, old)) // an entry of an older incarnation is ignored
	m, _ := v.Get("b")
	is.True(!m.Leaving)
	is.True(v.Merge(0, member("b", 6)))
}

func TestLeavingWinsWithinIncarnation(t *testing.T) {
	is := is.New(t)
	v := New(member("a", 1))
	b := member("b", 5)
	b.Leaving, b.Seq = true, 1
	v.Merge(0, b)
	b.Leaving, b.Seq = false, 2
	v.Merge(0, b)
	m, _ := v.Get("b")
	is.True(m.Leaving)
}

func TestSuspectDiesAndRefutes(t *testing.T) {
	is := is.New(t)
	v := New(member("a", 1), WithSuspectTimeout(time.Second))
	v.Merge(0, member("b", 1))
	m, suspect := v.MarkSuspect(0, "b")
	is.True(suspect)
	is.Equal(len(v.Tick(500*time.Millisecond)), 0)
	is.Equal(len(v.Tick(2*time.Second)), 1)
	is.Equal(len(v.Live()), 1)
	b := New(member("b", 1))
	dead, _ := v.Get("b")
	is.True(b.Merge(0, dead)) // b receives the entry that declares it dead and refutes it
	is.True(v.Merge(3*time.Second, b.Self()))
	is.Equal(len(v.Live()), 2)
	is.Equal(m.State, Suspect)
}

// Views that exchange their tables in any order and with any losses agree once every
// pair has exchanged them, and no live member stays dead in any view.
func TestViewsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 6).Draw(t, "n")
		views := make([]*View, n)
		for i := range views {
			views[i] = New(member(fmt.Sprint("m", i), uint64(i+1)))
		}
		now := time.Duration(0)
		steps := rapid.IntRange(0, 40).Draw(t, "steps")
		for range steps {
			a := views[rapid.IntRange(0, n-1).Draw(t, "a")]
			b := views[rapid.IntRange(0, n-1).Draw(t, "b")]
			now += time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				exchange(now, a, b)
			case 1:
				a.MarkSuspect(now, b.Self().Name)
			case 2:
				a.Tick(now)
			case 3:
				a.Update(func(m *Member) { m.EntryIncarnation++ })
			}
		}
		for range 3 * n {
			for i := range views {
				exchange(now, views[i], views[(i+1)%n])
			}
		}
		for _, v := range views {
			if v.Digest() != views[0].Digest() || len(v.Live()) != n {
				t.Fatalf("%v\nis not\n%v", v.All(), views[0].All())
			}
		}
	})
}

func exchange(now time.Duration, a, b *View) {
	for _, m := range a.All() {
		b.Merge(now, m)
	}
	for _, m := range b.All() {
		a.Merge(now, m)
	}
}

func TestHeartbeatTargetsReachAll(t *testing.T) {
	is := is.New(t)
	const n = 390
	all := make([]Member, n)
	for i := range all {
		all[i] = member(fmt.Sprintf("m%03d", i), 1)
	}
	targets := make(map[string][]string)
	for _, self := range all {
		v := New(self)
		for _, m := range all {
			v.Merge(0, m)
		}
		targets[self.Name] = v.HeartbeatTargets()
		is.Equal(len(targets[self.Name]), 9) // ceil(log2(390))
	}
	reached, front := map[string]bool{"m000": true}, []string{"m000"}
	hops := 0
	for ; len(reached) < n; hops++ {
		var next []string
		for _, f := range front {
			for _, p := range targets[f] {
				if !reached[p] {
					reached[p] = true
					next = append(next, p)
				}
			}
		}
		is.True(len(next) > 0) // the ring is connected
		front = next
	}
	is.True(hops <= 9)
}

// A coord that restarts after its clock went back must count as a new and higher
// incarnation.
func TestRestartAfterTheClockWentBackSupersedes(t *testing.T) {
	for _, previous := range []uint64{5, 6, 1 << 62} {
		is := is.New(t)
		a, previousRun := New(member("a", 1)), New(member("b", previous))
		previousRun.Update(func(m *Member) { m.Leaving = true })
		exchange(0, a, previousRun)
		next := New(member("b", 5))
		exchange(time.Second, a, next)
		exchange(time.Second, a, next)
		recorded, _ := a.Get("b")
		is.Equal(recorded, next.Self())
		is.True(!recorded.Leaving)
		is.True(recorded.Incarnation > previous)
	}
}
