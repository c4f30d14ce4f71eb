// Package gossip keeps an instance's view of all instances by heartbeat
// counters (van Renesse, Minsky and Hayden, 1998): each instance raises its own
// counter, tells some others the counters it knows, and takes one for dead
// whose counter has not risen for a while. News crosses the fleet in log(n)
// rounds at a constant cost for each instance.
//
// The view steers where clients go and who owns which pool; no promise rests
// on it. It is pure: events and time in, messages out.
package gossip

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Instance is what one instance tells of itself.
type Instance struct {
	Name        string
	Hall        string
	Incarnation uint64 // rises with every start
	Count       uint64 // heartbeats of this incarnation
	Leaving     bool   // a planned stop began
	Front       string // IP:port for clients
	Link        string // IP:port for links of peers
	Datagram    string // IP:port for heartbeats
	Configured  uint64 // version of the configuration in force there
	Share       uint32 // of a processor, in thousandths
}

// View is not safe for concurrent use.
type View struct {
	opts Options
	self Instance
	rows map[string]*row
	turn int // where the next message's sample begins
}

type row struct {
	Instance
	heard time.Duration // when the counter last rose
}

// Options are the view's constants.
type Options struct {
	Silent time.Duration // after which an instance is taken for dead
	Forget time.Duration // after which a dead one is forgotten
	Fanout int           // instances told in a round
	Sample int           // entries in a message beside the sender's own
}

// Standard returns the constants for heartbeats sent each 200 ms.
func Standard() Options {
	return Options{Silent: 1100 * time.Millisecond, Forget: 5 * time.Minute, Fanout: 6, Sample: 10}
}

// New returns a view that knows only self.
func New(self Instance, opts Options) *View {
	return &View{opts: opts, self: self, rows: make(map[string]*row)}
}

// Self returns the instance's own entry.
func (v *View) Self() Instance { return v.self }

// SetLeaving notes the begin of a planned stop.
func (v *View) SetLeaving() { v.self.Leaving = true }

// SetConfigured notes the version of the configuration in force.
func (v *View) SetConfigured(version uint64) { v.self.Configured = version }

// Merge takes in what somebody tells of an instance.
func (v *View) Merge(now time.Duration, i Instance) {
	if i.Name == v.self.Name {
		return
	}
	r := v.rows[i.Name]
	if r == nil {
		v.rows[i.Name] = &row{Instance: i, heard: now}
		return
	}
	if i.Incarnation < r.Incarnation || (i.Incarnation == r.Incarnation && i.Count <= r.Count) {
		return
	}
	if i.Incarnation == r.Incarnation {
		i.Leaving = i.Leaving || r.Leaving
	}
	r.Instance = i
	r.heard = now
}

// Lost notes that a connection to an instance failed: it is not heard of until
// its counter rises again.
func (v *View) Lost(now time.Duration, name string) {
	if r := v.rows[name]; r != nil {
		r.heard = min(r.heard, now-v.opts.Silent)
	}
}

// Round raises the own counter and returns whom to tell and what.
func (v *View) Round(now time.Duration, random *rand.Rand) (to []string, news []Instance) {
	v.self.Count++
	v.forget(now)
	names := v.names()
	news = append(news, v.self)
	for range min(v.opts.Sample, len(names)) {
		v.turn++
		news = append(news, v.rows[names[v.turn%len(names)]].Instance)
	}
	alive, dead := v.split(now, names)
	random.Shuffle(len(alive), func(i, j int) { alive[i], alive[j] = alive[j], alive[i] })
	to = alive[:min(v.opts.Fanout, len(alive))]
	if len(dead) > 0 { // a partition heals from either side
		to = append(to, dead[random.IntN(len(dead))])
	}
	return to, news
}

func (v *View) split(now time.Duration, names []string) (alive, dead []string) {
	for _, n := range names {
		r := v.rows[n]
		if v.alive(now, r) {
			alive = append(alive, r.Datagram)
		} else {
			dead = append(dead, r.Datagram)
		}
	}
	return alive, dead
}

func (v *View) alive(now time.Duration, r *row) bool { return now-r.heard < v.opts.Silent }

func (v *View) forget(now time.Duration) {
	for n, r := range v.rows {
		if now-r.heard > v.opts.Forget {
			delete(v.rows, n)
		}
	}
}

func (v *View) names() []string {
	out := make([]string, 0, len(v.rows))
	for n := range v.rows {
		out = append(out, n)
	}
	slices.Sort(out)
	return out
}

// Alive returns the instances heard of lately, oneself included, by name.
func (v *View) Alive(now time.Duration) []Instance {
	out := []Instance{v.self}
	for _, r := range v.rows {
		if v.alive(now, r) {
			out = append(out, r.Instance)
		}
	}
	slices.SortFunc(out, func(a, b Instance) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// Known returns the number of instances that are not forgotten, oneself included.
func (v *View) Known() int { return len(v.rows) + 1 }
