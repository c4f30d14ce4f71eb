package gossip

import (
	"math/rand/v2"
	"time"
)

// An instance that starts, or that learns of many changes at once, compares its view
// with those of its peers: it sends the keys of all incarnations that it knows and
// receives the entries that it lacks. When all instances start together, what each one
// knows doubles with every exchange, and each entry is sent to it about once. Heartbeats
// alone carry a few entries each, so they would take a time that grows with the fleet.

const (
	// Exchanges in a row without a new entry after which a view counts as complete. One
	// is not enough: the peer may have started at the same time.
	completeSyncs = 3
	// Fraction of the exchanges that go to another hall.
	crossHallSyncs = 0.2
)

// NeedsSync reports whether the view may lack many instances.
func (v *View) NeedsSync() bool { return v.joining }

// Keys returns the keys of all recorded incarnations, including this one.
func (v *View) Keys() []uint32 {
	out := make([]uint32, 0, len(v.sorted)+1)
	out = append(out, v.self.Key())
	for _, r := range v.sorted {
		out = append(out, r.key)
	}
	return out
}

// EntriesWithout returns the live instances whose keys are not given.
func (v *View) EntriesWithout(now time.Duration, keys []uint32) []Instance {
	known := make(map[uint32]bool, len(keys))
	for _, key := range keys {
		known[key] = true
	}
	var out []Instance
	if !known[v.self.Key()] {
		out = append(out, v.self)
	}
	for _, r := range v.sorted {
		if !known[r.key] && v.alive(now, r) {
			out = append(out, r.entry(now))
		}
	}
	return out
}

// MergeSync applies the entries that a peer returned and reports how many were new.
// Other instances receive them in the same way, so they are not announced.
func (v *View) MergeSync(now time.Duration, entries []Instance) int {
	added := 0
	for _, i := range entries {
		if isNew, _ := v.merge(now, i); isNew {
			added++
		}
	}
	v.syncsWithoutNews++
	if added > 0 {
		v.syncsWithoutNews = 0
	}
	if v.syncsWithoutNews >= completeSyncs {
		v.joining, v.syncsWithoutNews = false, 0
	}
	return added
}

// SyncTarget returns the instance to compare the view with next, or false if no other
// instance is alive. Most are in this instance's hall, as traffic between halls is
// expensive.
func (v *View) SyncTarget(now time.Duration, random *rand.Rand) (Instance, bool) {
	live := v.Live(now)
	hall := live.Hall(v.self.Hall)
	if len(hall) > 1 && random.Float64() >= crossHallSyncs {
		return *pickOther(hall, v.self.Name, random), true
	}
	if len(live.Instances) < 2 {
		return Instance{}, false
	}
	for {
		if i := live.Instances[random.IntN(len(live.Instances))]; i.Name != v.self.Name {
			return i, true
		}
	}
}

// pickOther returns a random instance of a list with at least two, other than the named
// one.
func pickOther(list []*Instance, name string, random *rand.Rand) *Instance {
	for {
		if i := list[random.IntN(len(list))]; i.Name != name {
			return i
		}
	}
}

// ShouldAnswerJoin reports whether to send the view to a newcomer. All instances hear of it,
// and a bounded number of them answers.
func (v *View) ShouldAnswerJoin(random *rand.Rand) bool {
	return random.Float64()*float64(len(v.rows)) < v.opts.JoinAnswers
}
