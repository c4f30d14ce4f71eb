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
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Instance is what one instance tells of itself.
type Instance struct {
	Name             string
	Hall             string
	Region           string   // of the hall; "" where it is not known
	Incarnation      uint64   // rises with every start
	HeartbeatCount   uint64   `json:"Count"` // heartbeats of this incarnation
	Leaving          bool     // a planned stop began
	ClientAddress    string   `json:"Front"`      // IP:port for clients
	PeerAddress      string   `json:"Link"`       // IP:port for links of peers
	HeartbeatAddress string   `json:"Datagram"`   // IP:port for heartbeats
	ConfigVersion    uint64   `json:"Configured"` // version of the configuration in force there
	OwnedCells       []uint32 `json:"Owns"`       // cells whose pools it owns
	CPUShare         uint32   `json:"Share"`      // of a processor, in thousandths
	IsReader         bool     `json:"Reads"`      // it follows the store for others
	StoreUnreachable bool     `json:"Blind"`      // it did not reach the store when it last tried
	Level            uint32   // of its build, that others must know to be understood; 0: it tells none

	HeartbeatAge time.Duration `json:"Age"` // in a message: since its counter rose, as far as the sender knows
}

const (
	settledBeats = 8 // heartbeats after which others may rely on an instance
	shareSteps   = 4 // in which processors' shares are told apart
)

// ShareRanks is the number of ranks that ByShare tells apart.
const CPURankCount = shareSteps + 1

// Settled reports whether an instance runs for long enough to be relied on.
func (i *Instance) Settled() bool { return i.HeartbeatCount >= settledBeats }

// ByShare returns the rank of each instance by its share of a processor: 0 for
// those with about the most of all given.
func CPURank(all []Instance) func(Instance) int {
	most := uint32(1)
	for _, i := range all {
		most = max(most, i.CPUShare)
	}
	return func(i Instance) int { return shareSteps - int(i.CPUShare*shareSteps/most) }
}

// View is not safe for concurrent use.
type View struct {
	opts  Options
	self  Instance
	rows  map[string]*row
	order []*row // the same, by name: sorted when one comes or goes, as a view is asked several times for each request
	byKey map[uint32]*row
	turn  int           // whose turn it is to be told in full
	seeds time.Duration // when the seeds were last told
	fresh time.Duration // when an incarnation was last heard of for the first time
}

type row struct {
	Instance
	heard time.Duration // when the counter last rose
	told  int           // how often it was told in full since it changed
	key   uint32
}

// Options are the view's constants.
type Options struct {
	FailureTimeout      time.Duration // after which an instance is taken for dead, in a small fleet
	TimeoutPerInstance  time.Duration // longer for each instance beyond Small: news of it comes rarer
	SmallFleetSize      int
	ForgetAfter         time.Duration // after which a dead one is forgotten
	Fanout              int           // instances told in a round
	CrossRegionMessages float64       // messages that all instances of a region send to others in a round, about
	RemoteTimeoutExtra  time.Duration // longer than Silent and Each say, for instances of other regions
	FullEntries         int           // entries told in full in a message, beside the sender's own
	MaxHeartbeats       int           // counters in a message
	SeedInterval        time.Duration // between messages to the seeds
	SettleTime          time.Duration // without a new incarnation, after which the view is taken for whole
}

// Standard returns the constants for heartbeats sent each 200 ms.
func DefaultOptions() Options {
	return Options{FailureTimeout: 1100 * time.Millisecond, TimeoutPerInstance: 15 * time.Millisecond, SmallFleetSize: 30, ForgetAfter: 5 * time.Minute, Fanout: 4, FullEntries: 10, MaxHeartbeats: 64, SeedInterval: 2 * time.Second,
		SettleTime: 60 * time.Millisecond, CrossRegionMessages: 3, RemoteTimeoutExtra: time.Second}
}

// turns is among how many the instances' first turns are spread: if all told
// the same entry in the same round, some would miss it for a whole cycle.
const turns = 1024

// New returns a view that knows only self.
func New(self Instance, opts Options) *View {
	return &View{opts: opts, self: self, rows: make(map[string]*row), byKey: make(map[uint32]*row), turn: int(self.Key() % turns)}
}

// Self returns the instance's own entry.
func (v *View) Self() Instance { return v.self }

// SetLeaving notes the begin of a planned stop.
func (v *View) SetLeaving() { v.self.Leaving = true }

// SetConfigured notes the version of the configuration in force, which never
// falls: of two that come into force at once, the older may be told last.
func (v *View) SetConfigVersion(version uint64) {
	v.self.ConfigVersion = max(v.self.ConfigVersion, version)
}

// SetReads notes whether this instance follows the store for others.
func (v *View) SetReader(reads bool) { v.self.IsReader = reads }

// SetBlind notes whether this instance reached the store when it last tried.
func (v *View) SetStoreUnreachable(blind bool) { v.self.StoreUnreachable = blind }

// SetOwns notes the cells that this instance owns.
func (v *View) SetOwnedCells(cells []uint32) { v.self.OwnedCells = cells }

// Merge takes in what somebody tells of an instance, and reports whether it is
// the first word of that incarnation.
func (v *View) Merge(now time.Duration, i Instance) bool {
	if i.Name == v.self.Name {
		v.outlive(&i)
		return false
	}
	heard := now - i.HeartbeatAge
	i.HeartbeatAge = 0
	r := v.rows[i.Name]
	if r == nil {
		r = &row{Instance: i, heard: heard, key: i.Key()}
		v.insert(r)
		v.fresh = now
		return true
	}
	if i.Incarnation < r.Incarnation || (i.Incarnation == r.Incarnation && i.HeartbeatCount <= r.HeartbeatCount) {
		return false
	}
	isNew := i.Incarnation > r.Incarnation
	if isNew {
		v.fresh = now
	}
	if i.Incarnation == r.Incarnation {
		i.Leaving = i.Leaving || r.Leaving
		i.Level = max(i.Level, r.Level) // older builds don't pass it on
	}
	if !r.sameInfo(&i) {
		r.told = 0
	}
	delete(v.byKey, r.key)
	r.Instance, r.heard, r.key = i, max(r.heard, heard), i.Key()
	v.byKey[r.key] = r
	return isNew
}

// outlive takes in what others know of an earlier life under the own name. An
// incarnation is a time of day, which goes back now and then: one that is not
// higher than the last one's would not be heard of until the clock has caught up,
// so this life takes the next one (as SWIM's members refute what is told of them).
func (v *View) outlive(i *Instance) {
	later := i.Incarnation > v.self.Incarnation || i.Incarnation == v.self.Incarnation && i.HeartbeatCount > v.self.HeartbeatCount
	if later && i.Incarnation < math.MaxUint64 {
		v.self.Incarnation = i.Incarnation + 1
	}
}

// Outlived returns what is known of the last life of an instance that tells of
// itself as of an earlier one: it must hear of that to be heard of itself.
func (v *View) NewerEntry(i *Instance) (last Instance, ok bool) {
	r := v.rows[i.Name]
	if r == nil || i.Incarnation > r.Incarnation || i.Incarnation == r.Incarnation && i.HeartbeatCount >= r.HeartbeatCount {
		return Instance{}, false
	}
	return r.Instance, true
}

func (v *View) insert(r *row) {
	v.rows[r.Name], v.byKey[r.key] = r, r
	at, _ := slices.BinarySearchFunc(v.order, r.Name, func(o *row, name string) int { return cmp.Compare(o.Name, name) })
	v.order = slices.Insert(v.order, at, r)
}

// sameInfo reports whether two entries differ by nothing that others act on. The
// configuration in force is such a thing at the sender only: with each change of
// it, all entries of a fleet would be told in full again.
func (r *row) sameInfo(i *Instance) bool {
	return r.Incarnation == i.Incarnation && r.Leaving == i.Leaving &&
		r.IsReader == i.IsReader && r.StoreUnreachable == i.StoreUnreachable && slices.Equal(r.OwnedCells, i.OwnedCells)
}

// Lost notes that a connection to an instance failed: it is not heard of until
// its counter rises again.
func (v *View) MarkUnreachable(now time.Duration, name string) {
	if r := v.rows[name]; r != nil {
		r.heard = min(r.heard, now-v.silent()-v.opts.RemoteTimeoutExtra)
	}
}

// Message is what an instance tells others: itself, some instances in full,
// and the counters of more.
type Message struct {
	Entries    []Instance // the sender first
	Heartbeats []Heartbeat
}

// Beat is an instance's counter; the key names one incarnation of it.
type Heartbeat struct {
	Key   uint32
	Count uint64
}

// Key names an incarnation of an instance among those that a view knows.
func (i *Instance) Key() uint32 {
	return uint32(xxhash.Sum64String(i.Name + "/" + strconv.FormatUint(i.Incarnation, 36)))
}

// Tell returns a message: in full those whose entries changed lately and one
// in its turn, the counters of those heard of last and of others in turn.
func (v *View) BuildMessage(now time.Duration) Message {
	m := Message{Entries: []Instance{v.self}}
	known := len(v.order)
	if known == 0 {
		return m
	}
	v.turn++
	next := v.order[v.turn%known]
	next.told = min(next.told, tellTimes-1)
	rows := make([]*row, 0, known)
	for i := range known {
		r := v.order[(v.turn+i)%known]
		if r.told < tellTimes && len(m.Entries) <= v.opts.FullEntries {
			r.told++
			m.Entries = append(m.Entries, r.entry(now))
			continue
		}
		if v.alive(now, r) {
			rows = append(rows, r)
		}
	}
	slices.SortStableFunc(rows, func(a, b *row) int { return cmp.Compare(b.heard, a.heard) })
	newest := min(v.opts.MaxHeartbeats/2, len(rows))
	for i, r := range rows {
		rest := len(rows) - newest
		if i >= newest && (i+v.turn*newest)%rest >= v.opts.MaxHeartbeats-newest {
			continue // its turn comes
		}
		m.Heartbeats = append(m.Heartbeats, Heartbeat{Key: r.key, Count: r.HeartbeatCount})
	}
	return m
}

// entry returns a row as it is told. Without its age, who is gone would be heard
// of again by whoever has an older count of it, and through that one by others.
func (r *row) entry(now time.Duration) Instance {
	i := r.Instance
	i.HeartbeatAge = max(now-r.heard, 0)
	return i
}

// tellTimes is how often a changed entry is told in full.
const tellTimes = 4

// MergeBeat takes in a counter that somebody tells.
func (v *View) MergeHeartbeat(now time.Duration, b Heartbeat) {
	r := v.byKey[b.Key]
	if r != nil && b.Count > r.HeartbeatCount {
		r.HeartbeatCount, r.heard = b.Count, now
	}
}

func (v *View) alive(now time.Duration, r *row) bool {
	silent := v.silent()
	if v.isFar(r) {
		silent += v.opts.RemoteTimeoutExtra
	}
	return now-r.heard < silent
}

func (v *View) silent() time.Duration {
	return v.opts.FailureTimeout + time.Duration(max(len(v.rows)-v.opts.SmallFleetSize, 0))*v.opts.TimeoutPerInstance
}

func (v *View) forget(now time.Duration) {
	old := func(r *row) bool { return now-r.heard > v.opts.ForgetAfter }
	for _, r := range v.order {
		if old(r) {
			delete(v.rows, r.Name)
			delete(v.byKey, r.key)
		}
	}
	v.order = slices.DeleteFunc(v.order, old)
}

// Alive returns the instances heard of lately, oneself included, by name.
func (v *View) Alive(now time.Duration) []Instance {
	out := make([]Instance, 0, len(v.order)+1)
	before, _ := slices.BinarySearchFunc(v.order, v.self.Name, func(r *row, name string) int { return cmp.Compare(r.Name, name) })
	for i, r := range v.order {
		if i == before {
			out = append(out, v.self)
		}
		if v.alive(now, r) {
			out = append(out, r.Instance)
		}
	}
	if before == len(v.order) {
		out = append(out, v.self)
	}
	return out
}

// Size returns the number of instances heard of lately, oneself included.
func (v *View) AliveCount(now time.Duration) int {
	n := 1
	for _, r := range v.order {
		if v.alive(now, r) {
			n++
		}
	}
	return n
}

// Hears reports whether an incarnation of an instance is heard of.
func (v *View) IsAlive(now time.Duration, name string, incarnation uint64) bool {
	if name == v.self.Name {
		return incarnation == v.self.Incarnation
	}
	r := v.rows[name]
	return r != nil && r.Incarnation == incarnation && v.alive(now, r)
}

// Still reports whether others are heard of and nobody new has been for a
// while: after a start of all, the view is then as good as it gets soon.
func (v *View) Settled(now time.Duration) bool {
	return v.AliveCount(now) > 1 && now-v.fresh >= v.opts.SettleTime
}

// Known returns the number of instances that are not forgotten, oneself included.
func (v *View) KnownCount() int { return len(v.rows) + 1 }
