// Package gossip maintains an instance's view of all instances with a gossip-style
// failure detector (van Renesse, Minsky and Hayden, 1998): each instance increments
// its own heartbeat counter, sends the counters it has recorded to some peers, and
// considers an instance dead when its counter has not increased within a timeout.
// Updates reach the whole fleet in O(log n) rounds at a constant cost per instance.
//
// The view determines which addresses clients get and which instance owns which
// pool. No guarantee depends on it. Nodes use this package; coords use package
// membership. The package does no I/O and reads no clock: callers pass in events
// and the time, and send the messages that it builds.
package gossip

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// View is one instance's view of the fleet. It is not safe for concurrent use.
type View struct {
	opts Options
	self Instance
	rows map[string]*row
	// All rows by name, kept sorted on insertion.
	sorted           []*row
	byKey            map[uint32]*row // by Instance.Key
	recent           recency         // all rows, the latest heartbeat first
	pending          []*row          // rows that are still to be announced in full
	cursor           int             // round-robin position in sorted of the entry last announced in turn
	rotation         int             // round-robin position in sorted of the counter last sent in turn
	messages         uint64          // messages built
	seedsContactedAt time.Duration   // last time the seeds were contacted
	newIncarnationAt time.Duration   // last time a new incarnation was discovered
	forgetAt         time.Duration   // next time to look for entries to remove
	live             *Live           // nil: has to be rebuilt
	liveFrom         time.Duration   // time for which live was last determined
	liveUntil        time.Duration   // earliest time after that at which an instance in live may time out
	joining          bool            // the view may lack many instances, see NeedsSync
	syncsWithoutNews int             // exchanges of whole views in a row that brought no new entry
}

type row struct {
	Instance
	lastHeartbeat time.Duration // when the counter last increased
	announcements int           // full announcements since the entry changed
	key           uint32        // Instance.Key
	listed        bool          // in View.live
	inPending     bool          // in View.pending
	message       uint64        // number of the last message that contained the row
	newer, older  *row          // neighbors in View.recent
}

// Options are the settings of a View.
type Options struct {
	FailureTimeout      time.Duration // time without a heartbeat after which an instance is considered dead, in a small fleet
	TimeoutPerInstance  time.Duration // added for each instance beyond SmallFleetSize, as each counter then arrives less often
	SmallFleetSize      int           // instances up to which FailureTimeout alone applies
	ForgetAfter         time.Duration // time without a heartbeat after which an entry is removed
	Fanout              int           // messages per round
	CrossRegionMessages float64       // approximate number of messages per round from all instances of a region to other regions
	RemoteTimeoutExtra  time.Duration // added to the timeout for instances of other regions
	FullEntries         int           // maximum number of full entries in a message, without the sender's own
	MaxHeartbeats       int           // maximum number of counters in a message
	SeedInterval        time.Duration // time between messages to the seeds, in fleets up to SeedFleetSize
	SeedFleetSize       int           // instances beyond which the seeds are contacted less often by each
	SettleTime          time.Duration // time without a new incarnation after which the view is considered complete
	MaxInstances        int           // entries that are kept; further ones are ignored
	JoinAnswers         float64       // approximate number of instances that send their view to a newcomer
	SyncBacklog         int           // entries waiting to be announced beyond which whole views are exchanged instead
}

// DefaultOptions returns the options used in production, with a round every 200 ms.
func DefaultOptions() Options {
	return Options{
		FailureTimeout:      1100 * time.Millisecond,
		TimeoutPerInstance:  15 * time.Millisecond,
		SmallFleetSize:      30,
		ForgetAfter:         5 * time.Minute,
		Fanout:              4,
		FullEntries:         10,
		MaxHeartbeats:       64,
		SeedInterval:        2 * time.Second,
		SeedFleetSize:       300,
		SettleTime:          60 * time.Millisecond,
		CrossRegionMessages: 3,
		RemoteTimeoutExtra:  time.Second,
		SyncBacklog:         50,
		MaxInstances:        8000,
		JoinAnswers:         30,
	}
}

// cursorSpread is the range over which the instances' initial cursors are spread.
// If all instances announced the same entry in the same round, those that no
// message reached in that round would miss the entry for a whole cycle.
const cursorSpread = 1024

// New returns a view that contains only self.
func New(self Instance, opts Options) *View {
	start := int(self.Key() % cursorSpread)
	return &View{opts: opts, self: self, rows: make(map[string]*row), byKey: make(map[uint32]*row), cursor: start, rotation: start, joining: true}
}

// Self returns the instance's own entry.
func (v *View) Self() Instance { return v.self }

// SetLeaving records that a planned shutdown has begun.
func (v *View) SetLeaving() {
	v.self.Leaving = true
	v.live = nil
}

// SetConfigVersion records the version of the configuration in force. The version
// never decreases: when two configurations take effect in quick succession, the
// older one may be reported last.
func (v *View) SetConfigVersion(version uint64) {
	v.self.ConfigVersion = max(v.self.ConfigVersion, version)
	v.live = nil
}

// SetReader records whether this instance watches the store on behalf of its hall.
func (v *View) SetReader(isReader bool) {
	v.self.IsReader = isReader
	v.live = nil
}

// SetStoreUnreachable records whether the last attempt to reach the store failed.
func (v *View) SetStoreUnreachable(unreachable bool) {
	if v.self.StoreUnreachable != unreachable {
		v.live = nil
	}
	v.self.StoreUnreachable = unreachable
}

// SetOwnedCells records the cells that this instance owns.
func (v *View) SetOwnedCells(cells []uint32) {
	if !slices.Equal(v.self.OwnedCells, cells) {
		v.live = nil
	}
	v.self.OwnedCells = cells
}

// Merge applies an announced entry and reports whether it is the first one of that
// incarnation.
func (v *View) Merge(now time.Duration, i Instance) bool {
	isNew, changed := v.merge(now, i)
	if changed {
		v.announce(v.rows[i.Name])
	}
	return isNew
}

// merge applies an entry and reports whether it is the first one of that incarnation,
// and whether its peers should hear of it.
func (v *View) merge(now time.Duration, i Instance) (isNew, changed bool) {
	if i.Name == v.self.Name {
		v.supersedeOwnIncarnation(&i)
		return false, false
	}
	heartbeat := now - i.HeartbeatAge
	i.HeartbeatAge = 0
	r := v.rows[i.Name]
	if r == nil && len(v.rows) >= v.opts.MaxInstances {
		return false, false
	}
	if r == nil {
		v.insert(&row{Instance: i, lastHeartbeat: heartbeat, key: i.Key()})
		v.newIncarnationAt = now
		return true, true
	}
	if i.Incarnation < r.Incarnation || (i.Incarnation == r.Incarnation && i.HeartbeatCount <= r.HeartbeatCount) {
		return false, false
	}
	isNew = i.Incarnation > r.Incarnation
	if isNew {
		v.newIncarnationAt = now
	}
	if i.Incarnation == r.Incarnation {
		i.Leaving = i.Leaving || r.Leaving
		i.Level = max(i.Level, r.Level) // older builds don't forward it
	}
	changed = !r.sameAnnouncedState(&i)
	if changed || !r.listed || r.ConfigVersion != i.ConfigVersion || r.Level != i.Level || r.Settled() != i.Settled() {
		v.live = nil
	}
	delete(v.byKey, r.key)
	r.Instance, r.lastHeartbeat, r.key = i, max(r.lastHeartbeat, heartbeat), i.Key()
	v.byKey[r.key] = r
	v.recent.moveToFront(r)
	return isNew, changed
}

// supersedeOwnIncarnation handles an entry under this instance's own name.
// Incarnations are taken from the wall clock, which may go back. Peers would ignore
// an incarnation that is not above the previous one until the clock has caught up,
// so this instance moves to the next higher incarnation, as a SWIM member refutes
// a suspicion.
func (v *View) supersedeOwnIncarnation(i *Instance) {
	newer := i.Incarnation > v.self.Incarnation || i.Incarnation == v.self.Incarnation && i.HeartbeatCount > v.self.HeartbeatCount
	if newer && i.Incarnation < math.MaxUint64 {
		v.self.Incarnation = i.Incarnation + 1
	}
}

// NewerEntry returns the recorded entry of an instance if it is newer than the one
// that the instance announces itself, which happens when the instance restarted
// after its clock went back. The instance must receive the recorded entry to move
// beyond it; until then its own announcements are ignored.
func (v *View) NewerEntry(i *Instance) (known Instance, ok bool) {
	r := v.rows[i.Name]
	if r == nil || i.Incarnation > r.Incarnation || i.Incarnation == r.Incarnation && i.HeartbeatCount >= r.HeartbeatCount {
		return Instance{}, false
	}
	return r.Instance, true
}

func (v *View) insert(r *row) {
	v.live = nil
	v.rows[r.Name], v.byKey[r.key] = r, r
	v.recent.pushFront(r)
	index, _ := slices.BinarySearchFunc(v.sorted, r.Name, func(o *row, name string) int { return cmp.Compare(o.Name, name) })
	v.sorted = slices.Insert(v.sorted, index, r)
}

// announce schedules a changed entry for announcements. The position in the queue
// depends on both instances, so that not all instances that learn the same entries
// at once announce the same ones first.
func (v *View) announce(r *row) {
	r.announcements = 0
	if r.inPending {
		return
	}
	r.inPending = true
	v.pending = append(v.pending, r)
	last := len(v.pending) - 1
	other := int(r.key^v.self.Key()) % len(v.pending)
	v.pending[last], v.pending[other] = v.pending[other], v.pending[last]
	if len(v.pending) > v.opts.SyncBacklog {
		v.joining = true
	}
}

// sameAnnouncedState reports whether two entries agree in all fields that make peers
// announce a change in full. The configuration version is not one of them: with
// every new configuration, all entries of the fleet would be announced in full again.
func (r *row) sameAnnouncedState(i *Instance) bool {
	return r.Incarnation == i.Incarnation && r.Leaving == i.Leaving &&
		r.IsReader == i.IsReader && r.StoreUnreachable == i.StoreUnreachable && slices.Equal(r.OwnedCells, i.OwnedCells)
}

// MarkUnreachable records that a connection to an instance failed: the instance is
// considered dead until its counter increases again.
func (v *View) MarkUnreachable(now time.Duration, name string) {
	if r := v.rows[name]; r != nil {
		r.lastHeartbeat = min(r.lastHeartbeat, now-v.failureTimeout()-v.opts.RemoteTimeoutExtra)
		v.live = nil
	}
}

// MergeHeartbeat applies a counter from a message.
func (v *View) MergeHeartbeat(now time.Duration, h Heartbeat) {
	r := v.byKey[h.Key]
	if r == nil || h.Count <= r.HeartbeatCount {
		return
	}
	wasSettled := r.Settled()
	r.HeartbeatCount, r.lastHeartbeat = h.Count, now
	if !r.listed || r.Settled() != wasSettled {
		v.live = nil
	}
	v.recent.moveToFront(r)
}

// alive reports whether an instance's counter has increased within its timeout.
func (v *View) alive(now time.Duration, r *row) bool {
	return now-r.lastHeartbeat < v.timeoutOf(r)
}

// timeoutOf returns the time without a heartbeat after which an instance counts as dead.
func (v *View) timeoutOf(r *row) time.Duration {
	if v.isRemote(r) {
		return v.failureTimeout() + v.opts.RemoteTimeoutExtra
	}
	return v.failureTimeout()
}

func (v *View) failureTimeout() time.Duration {
	return v.opts.FailureTimeout + time.Duration(max(len(v.rows)-v.opts.SmallFleetSize, 0))*v.opts.TimeoutPerInstance
}

// forget removes the entries without a heartbeat for ForgetAfter.
func (v *View) forget(now time.Duration) {
	if now < v.forgetAt {
		return
	}
	v.forgetAt = now + forgetInterval
	expired := func(r *row) bool { return now-r.lastHeartbeat > v.opts.ForgetAfter }
	for _, r := range v.sorted {
		if expired(r) {
			delete(v.rows, r.Name)
			delete(v.byKey, r.key)
			v.recent.remove(r)
			v.live = nil
		}
	}
	v.sorted = slices.DeleteFunc(v.sorted, expired)
}

// forgetInterval is the time between two looks for entries to remove.
const forgetInterval = 10 * time.Second

// IsAlive reports whether the given incarnation of an instance is alive.
func (v *View) IsAlive(now time.Duration, name string, incarnation uint64) bool {
	if name == v.self.Name {
		return incarnation == v.self.Incarnation
	}
	r := v.rows[name]
	return r != nil && r.Incarnation == incarnation && v.alive(now, r)
}

// Settled reports whether other instances are alive and no new incarnation has been
// discovered for SettleTime. After a start of the whole fleet, the view is unlikely
// to become more complete soon after that. In a large fleet, the view has been
// compared with another one too.
func (v *View) Settled(now time.Duration) bool {
	isSyncing := v.joining && len(v.rows) > v.opts.SmallFleetSize
	return v.AliveCount(now) > 1 && !isSyncing && now-v.newIncarnationAt >= v.opts.SettleTime
}

// KnownCount returns the number of recorded instances, dead or alive, including this one.
func (v *View) KnownCount() int { return len(v.rows) + 1 }
