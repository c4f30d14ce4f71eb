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
	inFlight    map[int][]delivery // by the round of their delivery
	random      *rand.Rand
	round       int
	crossRegion int // messages between regions
}

type delivery struct {
	to string
	m  Message
}

func newRegionFleet(regions, each int, seed uint64) *regionFleet {
	p := &regionFleet{views: make(map[string]*View), regionOf: make(map[string]string), stopped: make(map[string]bool), partitioned: make(map[string]bool),
		inFlight: make(map[int][]delivery), random: rand.New(rand.NewPCG(seed, 7))}
	var all []Instance
	for r := range regions {
		for i := range each {
			name := fmt.Sprintf("r%d-%02d", r, i)
			all = append(all, Instance{Name: name, Region: fmt.Sprint("r", r), Hall: fmt.Sprintf("r%d-%d", r, i%2), Incarnation: 1, HeartbeatAddress: name})
			p.regionOf[name] = fmt.Sprint("r", r)
		}
	}
	for _, self := range all {
		v := New(self, DefaultOptions())
		for _, other := range all { // from the store's entries
			v.Merge(0, other)
		}
		p.views[self.Name] = v
	}
	return p
}

func (p *regionFleet) now() time.Duration { return time.Duration(p.round) * round }

func (p *regionFleet) run(d time.Duration) {
	names := slices.Sorted(maps.Keys(p.views))
	for range int(d / round) {
		p.round++
		for _, name := range names {
			if !p.stopped[name] {
				to, m := p.views[name].Round(p.now(), p.random)
				p.send(name, to, m)
			}
		}
		for _, l := range p.inFlight[p.round] {
			p.deliver(l)
		}
		delete(p.inFlight, p.round)
	}
}

func (p *regionFleet) send(from string, to []string, m Message) {
	for _, peer := range to {
		at := p.round
		if a, b := p.regionOf[from], p.regionOf[peer]; a != b {
			p.crossRegion++
			if p.partitioned[a] || p.partitioned[b] || p.random.Float64() < p.loss {
				continue
			}
			at += p.delayRounds
		}
		if at == p.round {
			p.deliver(delivery{peer, m})
			continue
		}
		p.inFlight[at] = append(p.inFlight[at], delivery{peer, m})
	}
}

func (p *regionFleet) deliver(l delivery) {
	if p.stopped[l.to] {
		return
	}
	for _, i := range l.m.Entries {
		p.views[l.to].Merge(p.now(), i)
	}
	for _, b := range l.m.Heartbeats {
		p.views[l.to].MergeHeartbeat(p.now(), b)
	}
}

// aliveIn returns how many instances of a region one instance considers alive.
func (p *regionFleet) aliveIn(name, region string) int {
	n := 0
	for _, i := range p.views[name].Alive(p.now()) {
		if i.Region == region {
			n++
		}
	}
	return n
}

// check fails if a running instance sees another number of live instances in a region
// than wanted.
func (p *regionFleet) check(t *rapid.T, phase string, want func(from, region string) int) {
	for name, from := range p.regionOf {
		if p.stopped[name] {
			continue
		}
		for _, region := range []string{"r0", "r1", "r2"} {
			if got, w := p.aliveIn(name, region), want(from, region); got != w {
				t.Fatalf("%s, %v: %s sees %d alive in %s, not %d", phase, p.now(), name, got, region, w)
			}
		}
	}
}

// Few messages cross regions, and still all instances see each other while
// connections between regions are slow and lose up to 30% of messages. A
// partitioned region keeps its own view and is seen again soon after it heals; the
// loss of a single instance is detected in all regions.
func TestRegionsHearOfEachOther(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		each := rapid.SampledFrom([]int{4, 12}).Draw(t, "each")
		p := newRegionFleet(3, each, rapid.Uint64().Draw(t, "seed"))
		p.loss, p.delayRounds = rapid.SampledFrom([]float64{0, 0.1, 0.3}).Draw(t, "loss"), rapid.IntRange(0, 1).Draw(t, "slow")
		p.run(3 * time.Second)
		before := p.crossRegion
		for range 5 {
			p.run(2 * time.Second)
			p.check(t, "all well", func(string, string) int { return each })
		}
		if perRound := float64(p.crossRegion-before) / 50; perRound > 3*DefaultOptions().CrossRegionMessages*1.3 {
			t.Fatalf("%.1f messages cross regions in a round", perRound)
		}
		p.partitioned["r0"] = true
		p.run(6 * time.Second)
		p.check(t, "cut", func(from, region string) int {
			if from == region || from != "r0" && region != "r0" {
				return each
			}
			return 0
		})
		p.partitioned["r0"] = false
		p.run(4 * time.Second)
		p.check(t, "healed", func(string, string) int { return each })
		stopped := "r1-00"
		p.stopped[stopped] = true
		p.run(6 * time.Second)
		p.check(t, "one lost", func(_, region string) int {
			if region == "r1" {
				return each - 1
			}
			return each
		})
	})
}
