package gossip

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

const round = 200 * time.Millisecond

// fleet is a number of views that tell each other, some of them cut off or stopped.
type fleet struct {
	views  map[string]*View
	cut    map[string]bool
	random *rand.Rand
	now    time.Duration
}

func newFleet(n int) *fleet { return newSeededFleet(n, 1) }

func newSeededFleet(n int, seed uint64) *fleet {
	f := &fleet{views: make(map[string]*View), cut: make(map[string]bool), random: rand.New(rand.NewPCG(seed, 2))}
	for i := range n {
		name := fmt.Sprintf("i%03d", i)
		f.views[name] = New(Instance{Name: name, Incarnation: 1, HeartbeatAddress: name}, DefaultOptions())
	}
	for _, v := range f.views {
		v.Merge(0, Instance{Name: "i000", Incarnation: 1, HeartbeatAddress: "i000"}) // the seed
	}
	return f
}

func (f *fleet) run(d time.Duration) {
	names := slices.Sorted(maps.Keys(f.views)) // the same run for the same seed
	for end := f.now + d; f.now < end; f.now += round {
		for _, name := range names {
			v := f.views[name]
			to, m := v.Round(f.now, f.random)
			for _, peer := range to {
				if f.cut[name] != f.cut[peer] || f.views[peer] == nil {
					continue
				}
				if last, ok := f.views[peer].NewerEntry(&m.Entries[0]); ok {
					v.Merge(f.now, last)
				}
				for _, i := range m.Entries {
					f.views[peer].Merge(f.now, i)
				}
				for _, b := range m.Heartbeats {
					f.views[peer].MergeHeartbeat(f.now, b)
				}
			}
		}
	}
}

func TestAllLearnOfAllThroughOneSeed(t *testing.T) {
	for seed := range uint64(8) {
		learnOfAll(t, 74, seed)
	}
	for _, n := range []int{2, 8} {
		learnOfAll(t, n, 1)
	}
}

func learnOfAll(t *testing.T, n int, seed uint64) {
	t.Helper()
	f := newSeededFleet(n, seed)
	f.run(20 * time.Second) // the store's entries make it faster
	for name, v := range f.views {
		if v.KnownCount() != n {
			t.Fatalf("%d instances, seed %d: %s knows %d", n, seed, name, v.KnownCount())
		}
		if alive := len(v.Alive(f.now)); alive < n*97/100 {
			t.Fatalf("%d instances, seed %d: %s hears of %d", n, seed, name, alive)
		}
	}
}

// All turns once went in step: every instance told the same entry in the same
// round, and whom nobody told in that round did not learn of it for 15 s.
func TestInstancesTellDifferentEntriesInARound(t *testing.T) {
	const n = 40
	told := make(map[string]bool)
	for i := range n {
		v := New(Instance{Name: fmt.Sprintf("i%03d", i), Incarnation: 1}, DefaultOptions())
		for j := range n {
			v.Merge(0, Instance{Name: fmt.Sprintf("i%03d", j), Incarnation: 1})
		}
		for range n * tellTimes { // until nothing is new
			v.BuildMessage(0)
		}
		m := v.BuildMessage(0)
		told[m.Entries[len(m.Entries)-1].Name] = true
	}
	if len(told) < n/4 {
		t.Errorf("%d instances tell only %d in a round", n, len(told))
	}
}

// At the two-year size the instances begin with the entries in the store.
func TestAllHearOfAllAtTheTwoYearSize(t *testing.T) {
	const n = 390
	f := newFleet(n)
	for _, v := range f.views {
		for name := range f.views {
			v.Merge(0, Instance{Name: name, Incarnation: 1, HeartbeatAddress: name})
		}
	}
	f.run(8 * time.Second)
	for name, v := range f.views {
		if alive := len(v.Alive(f.now)); alive < n*97/100 {
			t.Fatalf("%s hears of %d", name, alive)
		}
	}
}

// A message's size does not grow with the fleet once the entries are told.
// A configuration that comes into force everywhere is no reason to tell all
// entries again; who owns what is.
func TestAConfigurationIsNotToldForOthers(t *testing.T) {
	f := newFleet(60)
	f.run(30 * time.Second)
	entries := func() int {
		n := 0
		for range 5 {
			for _, name := range slices.Sorted(maps.Keys(f.views)) {
				n += len(f.views[name].BuildMessage(f.now).Entries)
			}
			f.run(round)
		}
		return n
	}
	calm := entries()
	for _, v := range f.views {
		v.SetConfigVersion(7)
	}
	f.run(2 * round)
	if changed := entries(); changed > calm+calm/10 {
		t.Errorf("%d entries in full after a configuration, %d before", changed, calm)
	}
	for _, v := range f.views {
		v.SetOwnedCells([]uint32{3})
	}
	f.run(2 * round)
	if changed := entries(); changed < 2*calm {
		t.Errorf("%d entries in full after new owners, %d before", changed, calm)
	}
}

// Of large halls each instance tells mostly its own; all hear of all as soon, and
// of the loss of one, wherever it was.
func TestFewMessagesLeaveALargeHall(t *testing.T) {
	const n, halls = 390, 9
	f := newFleet(n)
	hallOf := make(map[string]string, n)
	for i, name := range slices.Sorted(maps.Keys(f.views)) {
		hallOf[name] = fmt.Sprint("h", i%halls)
		f.views[name] = New(Instance{Name: name, Hall: hallOf[name], Incarnation: 1, HeartbeatAddress: name}, DefaultOptions())
	}
	for _, v := range f.views {
		for name := range f.views {
			v.Merge(0, Instance{Name: name, Hall: hallOf[name], Incarnation: 1, HeartbeatAddress: name})
		}
	}
	f.run(8 * time.Second)
	far, all := 0, 0
	for name, v := range f.views {
		if alive := len(v.Alive(f.now)); alive < n*97/100 {
			t.Fatalf("%s hears of %d", name, alive)
		}
		to, _ := v.Round(f.now, f.random)
		for _, peer := range to {
			all++
			if hallOf[peer] != hallOf[name] {
				far++
			}
		}
	}
	if far*3 > all {
		t.Fatalf("%d of %d messages leave their hall", far, all)
	}
	f.cut["i007"] = true
	f.run(DefaultOptions().FailureTimeout + time.Duration(n-DefaultOptions().SmallFleetSize)*DefaultOptions().TimeoutPerInstance + 4*time.Second)
	for name, v := range f.views {
		if name != "i007" && slices.ContainsFunc(v.Alive(f.now), func(i Instance) bool { return i.Name == "i007" }) {
			t.Fatalf("%s still hears of i007", name)
		}
	}
}

func TestBytesStayWithinTheBudget(t *testing.T) {
	f := newFleet(120)
	f.run(60 * time.Second)
	const (
		entry     = 90    // bytes, as encoded, about
		beat      = 8     // bytes
		perSecond = 5 * 4 // messages: rounds and peers
		budget    = 21_000
	)
	for name, v := range f.views {
		m := v.BuildMessage(f.now)
		if bytes := (entry*len(m.Entries) + beat*len(m.Heartbeats)) * perSecond; bytes > budget {
			t.Fatalf("%s: %d bytes a second, %d entries", name, bytes, len(m.Entries))
		}
	}
}

func TestASilentInstanceIsTakenForDeadAndComesBack(t *testing.T) {
	is := is.New(t)
	f := newFleet(8)
	f.run(3 * time.Second)
	f.cut["i003"] = true
	f.run(3 * time.Second)
	is.Equal(len(f.views["i000"].Alive(f.now)), 7)
	is.Equal(len(f.views["i003"].Alive(f.now)), 1) // it knows that it hears nobody
	f.cut["i003"] = false
	f.run(3 * time.Second)
	is.Equal(len(f.views["i000"].Alive(f.now)), 8)
}

func TestLeavingWinsWithinAnIncarnation(t *testing.T) {
	is := is.New(t)
	v := New(Instance{Name: "self"}, DefaultOptions())
	v.Merge(0, Instance{Name: "a", Incarnation: 1, HeartbeatCount: 5, Leaving: true})
	v.Merge(0, Instance{Name: "a", Incarnation: 1, HeartbeatCount: 6})
	is.True(v.Alive(0)[0].Leaving)
	is.True(v.Merge(0, Instance{Name: "a", Incarnation: 2, HeartbeatCount: 1})) // the first word of a new one
	is.True(!v.Alive(0)[0].Leaving)
	is.True(!v.Merge(0, Instance{Name: "a", Incarnation: 1, HeartbeatCount: 9}))
}

func TestALostInstanceIsNotHeardOfUntilItSpeaks(t *testing.T) {
	is := is.New(t)
	v := New(Instance{Name: "self"}, DefaultOptions())
	v.Merge(0, Instance{Name: "a", Incarnation: 1, HeartbeatCount: 5})
	v.MarkUnreachable(0, "a")
	is.Equal(len(v.Alive(0)), 1)
	v.Merge(0, Instance{Name: "a", Incarnation: 1, HeartbeatCount: 6})
	is.Equal(len(v.Alive(0)), 2)
}

// The seeds may start later: an instance that hears of nobody tells them again and again.
func TestSeedsAreToldUntilSomebodyIsHeardOf(t *testing.T) {
	is := is.New(t)
	v := New(Instance{Name: "a", Incarnation: 1}, DefaultOptions())
	round := 200 * time.Millisecond
	now := time.Duration(0)
	for range 5 {
		is.True(v.SeedsDue(now))
		now += round
	}
	v.Merge(now, Instance{Name: "b", Incarnation: 1, HeartbeatCount: 1})
	told := 0
	for range 20 {
		now += round
		v.MergeHeartbeat(now, Heartbeat{Key: v.rows["b"].key, Count: uint64(now)})
		if v.SeedsDue(now) {
			told++
		}
	}
	is.Equal(told, 2) // each two seconds
}

func TestTheVersionToldNeverFalls(t *testing.T) {
	is := is.New(t)
	v := New(Instance{Name: "a"}, DefaultOptions())
	v.SetConfigVersion(7)
	v.SetConfigVersion(5)
	is.Equal(v.Self().ConfigVersion, uint64(7))
}

// After a start of all nobody has settled; what a view is good for then shows
// in that nobody new is heard of.
func TestAViewIsStillOnceNobodyNewIsHeardOf(t *testing.T) {
	is := is.New(t)
	o := DefaultOptions()
	v := New(Instance{Name: "a", Incarnation: 1}, o)
	is.True(!v.Settled(time.Second)) // it hears of nobody
	v.Merge(time.Second, Instance{Name: "b", Incarnation: 1, HeartbeatCount: 1})
	is.True(!v.Settled(time.Second + o.SettleTime - 1))
	v.Merge(time.Second+o.SettleTime-1, Instance{Name: "c", Incarnation: 1, HeartbeatCount: 1})
	is.True(!v.Settled(time.Second + o.SettleTime)) // c is new
	v.Merge(time.Second+o.SettleTime, Instance{Name: "c", Incarnation: 1, HeartbeatCount: 2})
	is.True(v.Settled(time.Second + 2*o.SettleTime - 1)) // known ones may go on speaking
	v.Merge(time.Second+2*o.SettleTime, Instance{Name: "b", Incarnation: 2, HeartbeatCount: 1})
	is.True(!v.Settled(time.Second + 2*o.SettleTime)) // another life of b
}

// The view was sorted for each question, several times a request: 390 entries each.
func TestQuestionsOfOneViewAgree(t *testing.T) {
	is := is.New(t)
	v := New(Instance{Name: "m", Incarnation: 7}, DefaultOptions())
	for _, name := range []string{"z", "a", "n", "l", "m2"} {
		v.Merge(0, Instance{Name: name, Incarnation: 1, HeartbeatCount: 1})
	}
	v.Merge(2*time.Second, Instance{Name: "z", Incarnation: 2, HeartbeatCount: 1})
	v.Merge(2*time.Second, Instance{Name: "a", Incarnation: 1, HeartbeatCount: 2})
	names := func(now time.Duration) string {
		out := ""
		for _, i := range v.Alive(now) {
			out += i.Name + " "
		}
		return out
	}
	is.Equal(names(0), "a l m m2 n z ")
	is.Equal(names(2*time.Second), "a m z ") // the others are silent
	is.Equal(v.AliveCount(2*time.Second), 3)
	is.True(!v.IsAlive(2*time.Second, "z", 1)) // an earlier life
	is.True(v.IsAlive(2*time.Second, "z", 2))
	is.True(!v.IsAlive(2*time.Second, "l", 1))
	is.True(v.IsAlive(2*time.Second, "m", 7))
	v.Round(2*time.Second+DefaultOptions().ForgetAfter, rand.New(rand.NewPCG(1, 1)))
	is.Equal(v.KnownCount(), 3) // those silent since are forgotten, the two heard of later not yet
	is.Equal(names(2*time.Second), "a m z ")
}

func BenchmarkAlive(b *testing.B) {
	v := New(Instance{Name: "i000"}, DefaultOptions())
	for i := 1; i < 390; i++ {
		v.Merge(0, Instance{Name: fmt.Sprintf("i%03d", i), Incarnation: 1, HeartbeatCount: 1})
	}
	b.ReportAllocs()
	for b.Loop() {
		v.Alive(0)
	}
}

// An entry that is told in full long after its counter rose is no sign of life,
// though its count is higher than the one known; a later rise is.
func TestAnOldWordIsNoSignOfLife(t *testing.T) {
	is := is.New(t)
	v := New(Instance{Name: "a"}, DefaultOptions())
	v.Merge(0, Instance{Name: "b", Incarnation: 1, HeartbeatCount: 5})
	now := 10 * time.Second
	v.Merge(now, Instance{Name: "b", Incarnation: 1, HeartbeatCount: 6, HeartbeatAge: 9 * time.Second})
	is.True(!v.IsAlive(now, "b", 1))
	v.Merge(now, Instance{Name: "c", Incarnation: 1, HeartbeatCount: 6, HeartbeatAge: 9 * time.Second}) // the first word of it
	is.True(!v.IsAlive(now, "c", 1))
	for _, i := range v.BuildMessage(now).Entries[1:] {
		is.True(i.HeartbeatAge >= 9*time.Second) // and it is told as old as it is
	}
	v.Merge(now, Instance{Name: "b", Incarnation: 1, HeartbeatCount: 7})
	is.True(v.IsAlive(now, "b", 1))
}
