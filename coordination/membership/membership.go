// Package membership maintains one instance's view of all instances: which are
// alive, in which incarnation, and which are leaving. Coords use it; nodes use
// package gossip.
//
// It follows SWIM (Das, Gupta and Motivala, 2002): a member that does not answer
// becomes a suspect, a suspect that does not refute in time is dead, and a member
// refutes by raising its own sequence number. Heartbeats go to fixed targets at
// distances 1, 2, 4, ... on a ring ordered by hash, so a member has log2(n)
// connections and updates reach the whole fleet in log2(n) hops. The view is soft
// state: no guarantee depends on it.
package membership

import (
	"cmp"
	"math"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// State is the state of a member as seen by others.
type State int

// The states; at an equal sequence number a higher one overrides a lower one.
const (
	Alive State = iota
	Suspect
	Dead
)

// Member is one instance's entry.
type Member struct {
	Name                string
	Hall                string
	Incarnation         uint64 // increases with every start of its coord
	Seq                 uint64 // increases with every change that the member itself makes
	State               State
	Leaving             bool
	CoordAddress        string // IP:port
	EntryHTTPAddress    string // IP:port, for clients
	EntryPeerAddress    string // IP:port, for peers
	EntryIncarnation    uint64
	AdoptedIncarnations []uint64 // incarnations of entries whose ledgers its entry has adopted
}

type row struct {
	Member
	stateSince time.Duration // when the state was entered
}

// View is one instance's view of the fleet. It is not safe for concurrent use; the
// owner holds a lock of rank table.RankMembers.
type View struct {
	opts   Options
	self   string // name of this instance
	rows   map[string]*row
	ring   []ringEntry // live members, sorted by hash
	digest uint64      // XOR of the hashes of all rows
}

// ringEntry is a member's position on the ring.
type ringEntry struct {
	hash uint64
	name string
}

// New returns a view that contains only self.
func New(self Member, opts ...Option) *View {
	v := &View{opts: newOptions(opts), self: self.Name, rows: make(map[string]*row)}
	v.set(&row{Member: self})
	return v
}

// Self returns this instance's own entry.
func (v *View) Self() Member { return v.rows[v.self].Member }

// Update changes this instance's own entry and raises its sequence number.
func (v *View) Update(change func(*Member)) Member {
	r := *v.rows[v.self]
	change(&r.Member)
	r.Seq++
	v.set(&r)
	return r.Member
}

// Merge applies a received entry and reports whether the view changed, in which case
// the entry should be forwarded.
func (v *View) Merge(now time.Duration, m Member) bool {
	if m.Name == v.self {
		return v.refute(m)
	}
	r, ok := v.rows[m.Name]
	if !ok {
		if m.State == Dead {
			return false
		}
		v.set(&row{Member: m, stateSince: now})
		return true
	}
	if !supersedes(m, r.Member) {
		return false
	}
	if m.Incarnation == r.Incarnation && r.Leaving {
		m.Leaving = true // leaving is final within an incarnation
	}
	next := &row{Member: m, stateSince: r.stateSince}
	if m.State != r.State {
		next.stateSince = now
	}
	v.set(next)
	return true
}

// refute handles a received entry of this instance itself. If the entry is wrong, it
// raises the incarnation or the sequence number above it.
func (v *View) refute(m Member) bool {
	r := v.rows[v.self]
	next := *r
	// A newer entry is from the previous incarnation: the wall clock has gone back since.
	if m.Incarnation > r.Incarnation || m.Incarnation == r.Incarnation && m.Seq > r.Seq {
		if m.Incarnation == math.MaxUint64 {
			return false
		}
		next.Incarnation = m.Incarnation + 1
		v.set(&next)
		return true
	}
	if m.Incarnation != r.Incarnation || m.Seq < r.Seq || m.State == Alive {
		return false
	}
	next.Seq = m.Seq + 1
	v.set(&next)
	return true
}

// supersedes reports whether a received entry replaces the recorded one.
func supersedes(m, old Member) bool {
	if m.Incarnation != old.Incarnation {
		return m.Incarnation > old.Incarnation
	}
	if m.Seq != old.Seq {
		return m.Seq > old.Seq
	}
	return m.State > old.State
}

// MarkSuspect records that a heartbeat target did not answer. It returns the new entry
// and whether the member became a suspect by this call.
func (v *View) MarkSuspect(now time.Duration, name string) (Member, bool) {
	r, ok := v.rows[name]
	if !ok || name == v.self || r.State != Alive {
		return Member{}, false
	}
	next := &row{Member: r.Member, stateSince: now}
	next.State = Suspect
	v.set(next)
	return next.Member, true
}

// Tick declares suspects dead that have not refuted in time and removes members that
// have been dead for ForgetAfter. It returns the members that it declared dead.
func (v *View) Tick(now time.Duration) []Member {
	var dead []Member
	for name, r := range v.rows {
		switch {
		case r.State == Suspect && now-r.stateSince > v.opts.SuspectTimeout:
			next := &row{Member: r.Member, stateSince: now}
			next.State = Dead
			v.set(next)
			dead = append(dead, next.Member)
		case r.State == Dead && now-r.stateSince > v.opts.ForgetAfter:
			v.digest ^= r.hash()
			delete(v.rows, name)
		}
	}
	return dead
}

// set replaces the member's row and updates the digest and the ring. Its cost grows
// with the fleet only by the insertion into the sorted ring.
func (v *View) set(r *row) {
	if old, ok := v.rows[r.Name]; ok {
		v.digest ^= old.hash()
	}
	v.rows[r.Name] = r
	v.digest ^= r.hash()
	e := ringEntry{hash: xxhash.Sum64String(r.Name), name: r.Name}
	i, found := slices.BinarySearchFunc(v.ring, e, compareRingEntries)
	switch live := r.State != Dead; {
	case live && !found:
		v.ring = slices.Insert(v.ring, i, e)
	case !live && found:
		v.ring = slices.Delete(v.ring, i, i+1)
	}
}

func compareRingEntries(a, b ringEntry) int {
	return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.name, b.name))
}

func (r *row) hash() uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(r.Name)
	n := [...]uint64{r.Incarnation, r.Seq, uint64(r.State), boolBit(r.Leaving)}
	for _, x := range n {
		_, _ = d.Write([]byte{byte(x), byte(x >> 8), byte(x >> 16), byte(x >> 24), byte(x >> 32), byte(x >> 40), byte(x >> 48), byte(x >> 56)})
	}
	return d.Sum64()
}

func boolBit(b bool) uint64 {
	if b {
		return 1
	}
	return 0
}

// Digest returns a hash of the view; equal views have equal digests.
func (v *View) Digest() uint64 { return v.digest }

// Get returns the entry of the member with the given name.
func (v *View) Get(name string) (Member, bool) {
	r, ok := v.rows[name]
	if !ok {
		return Member{}, false
	}
	return r.Member, true
}

// All returns all entries, including dead members, sorted by name.
func (v *View) All() []Member {
	out := make([]Member, 0, len(v.rows))
	for _, r := range v.rows {
		out = append(out, r.Member)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// Live returns the names of all members that are not dead, in ring order.
func (v *View) Live() []string {
	out := make([]string, len(v.ring))
	for i, s := range v.ring {
		out[i] = s.name
	}
	return out
}

// HeartbeatTargets returns the members that this instance sends heartbeats to: those
// at distances 1, 2, 4, ... after it on the ring.
func (v *View) HeartbeatTargets() []string {
	n, at := len(v.ring), 0
	for i, s := range v.ring {
		if s.name == v.self {
			at = i
		}
	}
	var out []string
	for d := 1; d < n; d *= 2 {
		out = append(out, v.ring[(at+d)%n].name)
	}
	return out
}

// RandomDead selects a dead member with the random number r. Contacting one now and
// then lets a partition heal from either side.
func (v *View) RandomDead(r uint64) (Member, bool) {
	var dead []Member
	for _, m := range v.All() {
		if m.State == Dead {
			dead = append(dead, m)
		}
	}
	if len(dead) == 0 {
		return Member{}, false
	}
	return dead[r%uint64(len(dead))], true
}
