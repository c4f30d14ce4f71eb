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

// fleet is a set of views that exchange messages, some of them partitioned or stopped.
type fleet struct {
	views       map[string]*View
	partitioned map[string]bool
	random      *rand.Rand
	now         time.Duration
}

func newFleet(n int) *fleet { return newSeededFleet(n, 1) }

func newSeededFleet(n int, seed uint64) *fleet {
	f := &fleet{views: make(map[string]*View), partitioned: make(map[string]bool), random: rand.New(rand.NewPCG(seed, 2))}
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
	names := slices.Sorted(maps.Keys(f.views)) // deterministic for a given seed
	for end := f.now + d; f.now < end; f.now += round {
		for _, name := range names {
			v := f.views[name]
			to, m := v.Round(f.now, f.random)
			for _, peer := range to {
				if f.partitioned[name] != f.partitioned[peer] || f.views[peer] == nil {
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

func TestAllInstancesDiscoverEachOtherThroughOneSeed(t *testing.T) {
	for seed := range uint64(8) {
		checkDiscovery(t, 74, seed)
	}
	for _, n := range []int{2, 8} {
		checkDiscovery(t, n, 1)
	}
}

func checkDiscovery(t *testing.T, n int, seed uint64) {
	t.Helper()
	f := newSeededFleet(n, seed)
	f.run(20 * time.Second) // without the store's entries, which make it faster
	for name, v := range f.views {
		if v.KnownCount() != n {
			t.Fatalf("%d instances, seed %d: %s has recorded %d", n, seed, name, v.KnownCount())
		}
		if alive := len(v.Alive(f.now)); alive < n*97/100 {
			t.Fatalf("%d instances, seed %d: %s sees %d alive", n, seed, name, alive)
		}
	}
}

// Guards against cursors that run in step: every instance announced the same entry in
// the same round, and instances that no message reached in that round did not
// receive the entry for 15 s.
func TestInstancesAnnounceDifferentEntriesInARound(t *testing.T) {
	const n = 40
	announced := make(map[string]bool)
	for i := range n {
		v := New(Instance{Name: fmt.Sprintf("i%03d", i), Incarnation: 1}, DefaultOptions())
		for j := range n {
			v.Merge(0, Instance{Name: fmt.Sprintf("i%03d", j), Incarnation: 1})
		}
		for range n * announcementsPerChange { // until no change is left to announce
			v.BuildMessage(0)
		}
		m := v.BuildMessage(0)
		announced[m.Entries[len(m.Entries)-1].Name] = true
	}
	if len(announced) < n/4 {
		t.Errorf("%d instances announce only %d entries in a round", n, len(announced))
	}
}

// 390 instances, the fleet size planned for in two years, start with the entries of the store.
func TestViewsStayCompleteAt390Instances(t *testing.T) {
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
			t.Fatalf("%s sees %d alive", name, alive)
		}
	}
}

// The message size does not grow with the fleet once all entries are announced. A
// configuration that takes effect everywhere must not cause all entries to be
// announced again; a change of cell owners must.
func TestConfigVersionIsNotReannouncedByPeers(t *testing.T) {
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
	baseline := entries()
	for _, v := range f.views {
		v.SetConfigVersion(7)
	}
	f.run(2 * round)
	if changed := entries(); changed > baseline+baseline/10 {
		t.Errorf("%d entries in full after a configuration, %d before", changed, baseline)
	}
	for _, v := range f.views {
		v.SetOwnedCells([]uint32{3})
	}
	f.run(2 * round)
	if changed := entries(); changed < 2*baseline {
		t.Errorf("%d entries in full after new owners, %d before", changed, baseline)
	}
}

// Instances of large halls mostly contact their own hall. All instances still see each
// other in time and detect the loss of one in any hall.
func TestFewMessagesCrossHalls(t *testing.T) {
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
	crossHall, all := 0, 0
	for name, v := range f.views {
		if alive := len(v.Alive(f.now)); alive < n*97/100 {
			t.Fatalf("%s sees %d alive", name, alive)
		}
		to, _ := v.Round(f.now, f.random)
		for _, peer := range to {
			all++
			if hallOf[peer] != hallOf[name] {
				crossHall++
			}
		}
	}
	if crossHall*3 > all {
		t.Fatalf("%d of %d messages cross halls", crossHall, all)
	}
	f.partitioned["i007"] = true
	f.run(DefaultOptions().FailureTimeout + time.Duration(n-DefaultOptions().SmallFleetSize)*DefaultOptions().TimeoutPerInstance + 4*time.Second)
	for name, v := range f.views {
		if name != "i007" && slices.ContainsFunc(v.Alive(f.now), func(i Instance) bool { return i.Name == "i007" }) {
			t.Fatalf("%s still considers i007 alive", name)
		}
	}
}

func TestBytesStayWithinTheBudget(t *testing.T) {
	f := newFleet(120)
	f.run(60 * time.Second)
	const (
		entryBytes     = 90     // approximate, as encoded
		heartbeatBytes = 8      // as encoded
		perSecond      = 5 * 4  // messages per second: rounds times peers
		budget         = 21_000 // bytes per second
	)
	for name, v := range f.views {
		m := v.BuildMessage(f.now)
		if bytes := (entryBytes*len(m.Entries) + heartbeatBytes*len(m.Heartbeats)) * perSecond; bytes > budget {
			t.Fatalf("%s: %d bytes a second, %d entries", name, bytes, len(m.Entries))
		}
	}
}

func TestSilentInstanceIsMarkedDeadAndRecovers(t *testing.T) {
	is := is.New(t)
	f := newFleet(8)
	f.run(3 * time.Second)
	f.partitioned["i003"] = true
	f.run(3 * time.Second)
	is.Equal(len(f.views["i000"].Alive(f.now)), 7)
	is.Equal(len(f.views["i003"].Alive(f.now)), 1) // only itself
	f.partitioned["i003"] = false
	f.run(3 * time.Second)
	is.Equal(len(f.views["i000"].Alive(f.now)), 8)
}

func TestLeavingWinsWithinAnIncarnation(t *testing.T) {
	is := is.New(t)
	v := New(Instance{Name: "self"}, DefaultOptions())
	v.Merge(0, Instance{Name: "a", Incarnation: 1, HeartbeatCount: 5, Leaving: true})
	v.Merge(0, Instance{Name: "a", Incarnation: 1, HeartbeatCount: 6})
	is.True(v.Alive(0)[0].Leaving)
	is.True(v.Merge(0, Instance{Name: "a", Incarnation: 2, HeartbeatCount: 1})) // first entry of a new incarnation
	is.True(!v.Alive(0)[0].Leaving)
	is.True(!v.Merge(0, Instance{Name: "a", Incarnation: 1, HeartbeatCount: 9}))
}

func TestUnreachableInstanceIsDeadUntilItsCounterRises(t *testing.T) {
	is := is.New(t)
	v := New(Instance{Name: "self"}, DefaultOptions())
	v.Merge(0, Instance{Name: "a", Incarnation: 1, HeartbeatCount: 5})
	v.MarkUnreachable(0, "a")
	is.Equal(len(v.Alive(0)), 1)
	v.Merge(0, Instance{Name: "a", Incarnation: 1, HeartbeatCount: 6})
	is.Equal(len(v.Alive(0)), 2)
}

// The seeds may start later than an instance, so it contacts them in every round until
// another instance is alive.
func TestSeedsAreContactedUntilAnInstanceIsDiscovered(t *testing.T) {
	is := is.New(t)
	v := New(Instance{Name: "a", Incarnation: 1}, DefaultOptions())
	round := 200 * time.Millisecond
	now := time.Duration(0)
	for range 5 {
		is.True(v.SeedsDue(now))
		now += round
	}
	v.Merge(now, Instance{Name: "b", Incarnation: 1, HeartbeatCount: 1})
	contacts := 0
	for range 20 {
		now += round
		v.MergeHeartbeat(now, Heartbeat{Key: v.rows["b"].key, Count: uint64(now)})
		if v.SeedsDue(now) {
			contacts++
		}
	}
	is.Equal(contacts, 2) // every two seconds
}

func TestAnnouncedConfigVersionNeverDecreases(t *testing.T) {
	is := is.New(t)
	v := New(Instance{Name: "a"}, DefaultOptions())
	v.SetConfigVersion(7)
	v.SetConfigVersion(5)
	is.Equal(v.Self().ConfigVersion, uint64(7))
}

// After a start of the whole fleet no instance has settled yet. A view is then
// settled once no new incarnation has been discovered for SettleTime.
func TestViewSettlesWithoutNewIncarnations(t *testing.T) {
	is := is.New(t)
	o := DefaultOptions()
	v := New(Instance{Name: "a", Incarnation: 1}, o)
	is.True(!v.Settled(time.Second)) // no other instance is alive
	v.Merge(time.Second, Instance{Name: "b", Incarnation: 1, HeartbeatCount: 1})
	is.True(!v.Settled(time.Second + o.SettleTime - 1))
	v.Merge(time.Second+o.SettleTime-1, Instance{Name: "c", Incarnation: 1, HeartbeatCount: 1})
	is.True(!v.Settled(time.Second + o.SettleTime)) // c is new
	v.Merge(time.Second+o.SettleTime, Instance{Name: "c", Incarnation: 1, HeartbeatCount: 2})
	is.True(v.Settled(time.Second + 2*o.SettleTime - 1)) // further heartbeats of known incarnations don't matter
	v.Merge(time.Second+2*o.SettleTime, Instance{Name: "b", Incarnation: 2, HeartbeatCount: 1})
	is.True(!v.Settled(time.Second + 2*o.SettleTime)) // a new incarnation of b
}

// The rows are kept sorted, as sorting 390 entries for every query, several times per
// request, was too slow. All queries must agree with the sorted order.
func TestViewQueriesAgree(t *testing.T) {
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
	is.Equal(names(2*time.Second), "a m z ") // the others have timed out
	is.Equal(v.AliveCount(2*time.Second), 3)
	is.True(!v.IsAlive(2*time.Second, "z", 1)) // an earlier incarnation
	is.True(v.IsAlive(2*time.Second, "z", 2))
	is.True(!v.IsAlive(2*time.Second, "l", 1))
	is.True(v.IsAlive(2*time.Second, "m", 7))
	v.Round(2*time.Second+DefaultOptions().ForgetAfter, rand.New(rand.NewPCG(1, 1)))
	is.Equal(v.KnownCount(), 3) // the timed-out entries are removed, the two with later heartbeats are kept
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

// An entry announced in full long after its counter increased is no evidence that the
// instance is alive, even if the count is above the recorded one. A later increase is.
func TestOldEntryIsNoEvidenceOfLife(t *testing.T) {
	is := is.New(t)
	v := New(Instance{Name: "a"}, DefaultOptions())
	v.Merge(0, Instance{Name: "b", Incarnation: 1, HeartbeatCount: 5})
	now := 10 * time.Second
	v.Merge(now, Instance{Name: "b", Incarnation: 1, HeartbeatCount: 6, HeartbeatAge: 9 * time.Second})
	is.True(!v.IsAlive(now, "b", 1))
	v.Merge(now, Instance{Name: "c", Incarnation: 1, HeartbeatCount: 6, HeartbeatAge: 9 * time.Second}) // first entry of c
	is.True(!v.IsAlive(now, "c", 1))
	for _, i := range v.BuildMessage(now).Entries[1:] {
		is.True(i.HeartbeatAge >= 9*time.Second) // announced with its real age
	}
	v.Merge(now, Instance{Name: "b", Incarnation: 1, HeartbeatCount: 7})
	is.True(v.IsAlive(now, "b", 1))
}
