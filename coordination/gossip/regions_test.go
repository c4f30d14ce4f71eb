package gossip

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// regionFleet is a fleet in several regions whose connections can be partitioned, slow
// and lossy.
type regionFleet struct {
	views       map[string]*View
	regionOf    map[string]string  // region by instance name
	stopped     map[string]bool    // instances
	partitioned map[string]bool    // regions
	loss        float64            // loss rate between regions
	delayRounds int                // delay of messages between regions
	inFlight    map[int][]delivery // by delivery round
	random      *rand.Rand
	round       int
	crossRegion int // messages between regions
}

type delivery struct {
	to string
	m  Message
}

func newRegionFleet(regions, each int, seed uint64) *regionFleet {
	f := &regionFleet{views: make(map[string]*View), regionOf: make(map[string]string), stopped: make(map[string]bool), partitioned: make(map[string]bool),
		inFlight: make(map[int][]delivery), random: rand.New(rand.NewPCG(seed, 7))}
	var all []Instance
	for r := range regions {
		for i := range each {
			name := fmt.Sprintf("r%d-%02d", r, i)
			all = append(all, Instance{Name: name, Region: fmt.Sprint("r", r), Hall: fmt.Sprintf("r%d-%d", r, i%2), Incarnation: 1, HeartbeatAddress: name})
			f.regionOf[name] = fmt.Sprint("r", r)
		}
	}
	for _, self := range all {
		v := New(self, DefaultOptions())
		for _, other := range all { // from the store's entries
			v.Merge(0, other)
		}
		f.views[self.Name] = v
	}
	return f
}

func (f *regionFleet) now() time.Duration { return time.Duration(f.round) * round }

func (f *regionFleet) run(d time.Duration) {
	names := slices.Sorted(maps.Keys(f.views))
	for range int(d / round) {
		f.round++
		for _, name := range names {
			if !f.stopped[name] {
				to, m := f.views[name].Round(f.now(), f.random)
				f.send(name, to, m)
			}
		}
		for _, l := range f.inFlight[f.round] {
			f.deliver(l)
		}
		delete(f.inFlight, f.round)
	}
}

func (f *regionFleet) send(from string, to []string, m Message) {
	for _, peer := range to {
		at := f.round
		if a, b := f.regionOf[from], f.regionOf[peer]; a != b {
			f.crossRegion++
			if f.partitioned[a] || f.partitioned[b] || f.random.Float64() < f.loss {
				continue
			}
			at += f.delayRounds
		}
		if at == f.round {
			f.deliver(delivery{peer, m})
			continue
		}
		f.inFlight[at] = append(f.inFlight[at], delivery{peer, m})
	}
}

func (f *regionFleet) deliver(l delivery) {
	if f.stopped[l.to] {
		return
	}
	for _, i := range l.m.Entries {
		f.views[l.to].Merge(f.now(), i)
	}
	for _, b := range l.m.Heartbeats {
		f.views[l.to].MergeHeartbeat(f.now(), b)
	}
}

// aliveIn returns how many instances of a region one instance considers alive.
func (f *regionFleet) aliveIn(name, region string) int {
	n := 0
	for _, i := range f.views[name].Alive(f.now()) {
		if i.Region == region {
			n++
		}
	}
	return n
}

// check fails if a running instance sees another number of live instances in a region
// than wanted.
func (f *regionFleet) check(t *rapid.T, phase string, want func(from, region string) int) {
	for name, from := range f.regionOf {
		if f.stopped[name] {
			continue
		}
		for _, region := range []string{"r0", "r1", "r2"} {
			if got, w := f.aliveIn(name, region), want(from, region); got != w {
				t.Fatalf("%s, %v: %s sees %d alive in %s, not %d", phase, f.now(), name, got, region, w)
			}
		}
	}
}

// Few messages cross regions, and still all instances see each other while
// connections between regions are slow and lose up to 30% of messages. A
// partitioned region keeps its own view and is seen again soon after it heals; the
// loss of a single instance is detected in all regions.
func TestRegionsDiscoverEachOther(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		each := rapid.SampledFrom([]int{4, 12}).Draw(t, "each")
		f := newRegionFleet(3, each, rapid.Uint64().Draw(t, "seed"))
		f.loss, f.delayRounds = rapid.SampledFrom([]float64{0, 0.1, 0.3}).Draw(t, "loss"), rapid.IntRange(0, 1).Draw(t, "slow")
		f.run(3 * time.Second)
		before := f.crossRegion
		for range 5 {
			f.run(2 * time.Second)
			f.check(t, "all well", func(string, string) int { return each })
		}
		if perRound := float64(f.crossRegion-before) / 50; perRound > 3*DefaultOptions().CrossRegionMessages*1.3 {
			t.Fatalf("%.1f messages cross regions in a round", perRound)
		}
		f.partitioned["r0"] = true
		f.run(6 * time.Second)
		f.check(t, "cut", func(from, region string) int {
			if from == region || from != "r0" && region != "r0" {
				return each
			}
			return 0
		})
		f.partitioned["r0"] = false
		f.run(4 * time.Second)
		f.check(t, "healed", func(string, string) int { return each })
		stopped := "r1-00"
		f.stopped[stopped] = true
		f.run(6 * time.Second)
		f.check(t, "one lost", func(_, region string) int {
			if region == "r1" {
				return each - 1
			}
			return each
		})
	})
}
