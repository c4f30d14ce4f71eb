package gossip

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// startingFleet is a fleet whose instances all start at once and know only the seeds. It
// delivers what a node sends: rounds, answers to newcomers and exchanges of views.
type startingFleet struct {
	views    []*View
	byName   map[string]*View
	seeds    []string
	random   *rand.Rand
	now      time.Duration
	messages int // heartbeats delivered
	entries  int // entries delivered, in heartbeats and in exchanges
}

const (
	startStep     = 50 * time.Millisecond
	syncStep      = 100 * time.Millisecond
	startingHalls = 6
)

func newStartingFleet(n int, seed uint64) *startingFleet {
	f := &startingFleet{byName: make(map[string]*View), random: rand.New(rand.NewPCG(seed, 3))}
	for i := range n {
		name := fmt.Sprintf("i%04d", i)
		v := New(Instance{Name: name, Hall: fmt.Sprint("h", i%startingHalls), Incarnation: 1, HeartbeatAddress: name}, DefaultOptions())
		f.views, f.byName[name] = append(f.views, v), v
	}
	f.seeds = []string{"i0000", "i0001", "i0002"}
	return f
}

// run plays the time d, or until every view is complete, and reports whether they are.
func (f *startingFleet) run(d time.Duration) bool {
	for end := f.now + d; f.now < end; f.now += startStep {
		for i, v := range f.views {
			f.step(v, i)
		}
		if f.isComplete() {
			return true
		}
	}
	return false
}

func (f *startingFleet) step(v *View, i int) {
	tick := int(f.now/startStep) + i // instances don't act in the same step
	if v.AliveCount(f.now) == 1 {
		for _, seed := range f.seeds {
			f.deliver(v, seed, Message{Entries: []Instance{v.Self()}})
		}
	}
	if tick%int(round/startStep) == 0 {
		to, m := v.Round(f.now, f.random)
		for _, peer := range to {
			f.deliver(v, peer, m)
		}
	}
	if tick%int(syncStep/startStep) == 0 && v.NeedsSync() {
		if peer, ok := v.SyncTarget(f.now, f.random); ok {
			answer := f.byName[peer.Name].EntriesWithout(f.now, v.Keys())
			f.entries += len(answer)
			v.MergeSync(f.now, answer)
		}
	}
}

func (f *startingFleet) deliver(from *View, to string, m Message) {
	v := f.byName[to]
	if v == nil || v == from {
		return
	}
	f.messages++
	f.entries += len(m.Entries)
	var newcomers []string
	for i, entry := range m.Entries {
		if v.Merge(f.now, entry) && (i == 0 && m.IsAnnouncement() || v.ShouldAnswerJoin(f.random)) {
			newcomers = append(newcomers, entry.HeartbeatAddress)
		}
	}
	for _, h := range m.Heartbeats {
		v.MergeHeartbeat(f.now, h)
	}
	if len(newcomers) == 0 {
		return
	}
	view := v.BuildMessage(f.now)
	for _, peer := range newcomers {
		f.deliver(v, peer, view)
	}
}

func (f *startingFleet) isComplete() bool {
	for _, v := range f.views {
		if v.AliveCount(f.now) < len(f.views) {
			return false
		}
	}
	return true
}

// When all instances of a fleet start at once, the entries that each one receives for each
// other instance do not grow with the fleet, and the messages to it grow far less: with
// four times the instances by less than three. (If every instance answered each newcomer,
// they would grow four times.)
func TestMessagesOfAStartDoNotGrowWithTheFleet(t *testing.T) {
	const (
		maxGrowth = 3.0
		maxTime   = 5 * time.Second
	)
	for seed := range uint64(2) {
		var messages, entries []float64 // messages to an instance, entries for each pair
		for _, n := range []int{120, 480} {
			f := newStartingFleet(n, seed)
			if !f.run(maxTime) {
				t.Fatalf("%d instances, seed %d: views are not complete after %v", n, seed, maxTime)
			}
			messages = append(messages, float64(f.messages)/float64(n))
			entries = append(entries, float64(f.entries)/float64(n*n))
		}
		if messages[1] > maxGrowth*messages[0] || entries[1] > entries[0] {
			t.Errorf("seed %d: messages to an instance %.0f, entries for each pair %.1f", seed, messages, entries)
		}
	}
}
