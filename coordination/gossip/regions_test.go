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

// places is a fleet in regions whose links to each other can be cut, slow and lossy.
type places struct {
	views   map[string]*View
	where   map[string]string // region, by name
	lost    map[string]bool   // instances
	cut     map[string]bool   // regions
	loss    float64           // of messages between regions
	slow    int               // rounds that a message between regions takes
	waiting map[int][]letter  // by the round in which they come
	random  *rand.Rand
	round   int
	crossed int // messages between regions
}

type letter struct {
	to string
	m  Message
}

func newPlaces(regions, each int, seed uint64) *places {
	p := &places{views: make(map[string]*View), where: make(map[string]string), lost: make(map[string]bool), cut: make(map[string]bool),
		waiting: make(map[int][]letter), random: rand.New(rand.NewPCG(seed, 7))}
	var all []Instance
	for r := range regions {
		for i := range each {
			name := fmt.Sprintf("r%d-%02d", r, i)
			all = append(all, Instance{Name: name, Region: fmt.Sprint("r", r), Hall: fmt.Sprintf("r%d-%d", r, i%2), Incarnation: 1, HeartbeatAddress: name})
			p.where[name] = fmt.Sprint("r", r)
		}
	}
	for _, self := range all {
		v := New(self, DefaultOptions())
		for _, other := range all { // as the store's entries tell
			v.Merge(0, other)
		}
		p.views[self.Name] = v
	}
	return p
}

func (p *places) now() time.Duration { return time.Duration(p.round) * round }

func (p *places) run(d time.Duration) {
	names := slices.Sorted(maps.Keys(p.views))
	for range int(d / round) {
		p.round++
		for _, name := range names {
			if !p.lost[name] {
				to, m := p.views[name].Round(p.now(), p.random)
				p.send(name, to, m)
			}
		}
		for _, l := range p.waiting[p.round] {
			p.take(l)
		}
		delete(p.waiting, p.round)
	}
}

func (p *places) send(from string, to []string, m Message) {
	for _, peer := range to {
		at := p.round
		if a, b := p.where[from], p.where[peer]; a != b {
			p.crossed++
			if p.cut[a] || p.cut[b] || p.random.Float64() < p.loss {
				continue
			}
			at += p.slow
		}
		if at == p.round {
			p.take(letter{peer, m})
			continue
		}
		p.waiting[at] = append(p.waiting[at], letter{peer, m})
	}
}

func (p *places) take(l letter) {
	if p.lost[l.to] {
		return
	}
	for _, i := range l.m.Entries {
		p.views[l.to].Merge(p.now(), i)
	}
	for _, b := range l.m.Heartbeats {
		p.views[l.to].MergeHeartbeat(p.now(), b)
	}
}

// hears returns how many of a region's instances one instance hears of.
func (p *places) hears(name, region string) int {
	n := 0
	for _, i := range p.views[name].Alive(p.now()) {
		if i.Region == region {
			n++
		}
	}
	return n
}

// check tells where an instance that runs hears of fewer of a region than it should.
func (p *places) check(t *rapid.T, when string, want func(from, region string) int) {
	for name, from := range p.where {
		if p.lost[name] {
			continue
		}
		for _, region := range []string{"r0", "r1", "r2"} {
			if got, w := p.hears(name, region), want(from, region); got != w {
				t.Fatalf("%s, %v: %s hears of %d in %s, not %d", when, p.now(), name, got, region, w)
			}
		}
	}
}

// Few messages cross between regions, and still all hear of all while links are
// slow and lose up to three messages in ten; a region that is cut off goes on by itself
// and is heard of again soon after; so is one that is lost and comes back.
func TestRegionsHearOfEachOther(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		each := rapid.SampledFrom([]int{4, 12}).Draw(t, "each")
		p := newPlaces(3, each, rapid.Uint64().Draw(t, "seed"))
		p.loss, p.slow = rapid.SampledFrom([]float64{0, 0.1, 0.3}).Draw(t, "loss"), rapid.IntRange(0, 1).Draw(t, "slow")
		p.run(3 * time.Second)
		before := p.crossed
		for range 5 {
			p.run(2 * time.Second)
			p.check(t, "all well", func(string, string) int { return each })
		}
		if perRound := float64(p.crossed-before) / 50; perRound > 3*DefaultOptions().CrossRegionMessages*1.3 {
			t.Fatalf("%.1f messages cross in a round", perRound)
		}
		p.cut["r0"] = true
		p.run(6 * time.Second)
		p.check(t, "cut", func(from, region string) int {
			if from == region || from != "r0" && region != "r0" {
				return each
			}
			return 0
		})
		p.cut["r0"] = false
		p.run(4 * time.Second)
		p.check(t, "healed", func(string, string) int { return each })
		gone := "r1-00"
		p.lost[gone] = true
		p.run(6 * time.Second)
		p.check(t, "one lost", func(_, region string) int {
			if region == "r1" {
				return each - 1
			}
			return each
		})
	})
}
