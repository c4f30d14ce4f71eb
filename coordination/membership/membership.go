// Package membership keeps one instance's view of all instances: who is
// there, in which incarnation, who is leaving.
//
// It follows SWIM (Das, Gupta and Motivala, 2002): silence makes a suspect, a
// suspect that does not refute within a while is dead, a member refutes by
// raising its own sequence number. Beats go to fixed partners at distances 1,
// 2, 4, ... on a ring ordered by hash, so a member has log2(n) links and news
// crosses the fleet in log2(n) hops. It is soft state: no promise rests on it.
package membership

import (
	"cmp"
	"math"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// State is what others think of a member.
type State int

// The states, in the order in which they override each other.
const (
	Alive State = iota
	Suspect
	Dead
)

// Member is one instance's entry.
type Member struct {
	Name                string
	Hall                string
	Incarnation         uint64 // rises with every start of its coord
	Seq                 uint64 // rises with every change the member makes itself
	State               State
	Leaving             bool
	CoordAddress        string // IP:port
	EntryHTTPAddress    string // IP:port, for callers
	EntryPeerAddress    string // IP:port, for peers
	EntryIncarnation    uint64
	AdoptedIncarnations []uint64 // entry incarnations whose ledgers its entry took over
}

type row struct {
	Member
	since time.Duration // when the state was entered
}

// View is not safe for concurrent use; its owner guards it (table.RankMembers).
type View struct {
	opts   Options
	self   string
	rows   map[string]*row
	ring   []spot // live members by hash
	digest uint64
}

// spot is a member's place on the ring.
type spot struct {
	hash uint64
	name string
}

// New returns a view that holds only self.
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

// Merge takes in what somebody says of a member and reports whether the view
// changed, in which case the news is worth passing on.
func (v *View) Merge(now time.Duration, m Member) bool {
	if m.Name == v.self {
		return v.mergeSelf(m)
	}
	r, ok := v.rows[m.Name]
	if !ok {
		if m.State == Dead {
			return false
		}
		v.set(&row{Member: m, since: now})
		return true
	}
	if !newer(m, r.Member) {
		return false
	}
	if m.Incarnation == r.Incarnation && r.Leaving {
		m.Leaving = true // leaving wins within an incarnation
	}
	next := &row{Member: m, since: r.since}
	if m.State != r.State {
		next.since = now
	}
	v.set(next)
	return true
}

// mergeSelf refutes what others wrongly say of this instance.
func (v *View) mergeSelf(m Member) bool {
	r := v.rows[v.self]
	next := *r
	if m.Incarnation > r.Incarnation || m.Incarnation == r.Incarnation && m.Seq > r.Seq { // of the last life: the time of day went back since
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

func newer(m, old Member) bool {
	if m.Incarnation != old.Incarnation {
		return m.Incarnation > old.Incarnation
	}
	if m.Seq != old.Seq {
		return m.Seq > old.Seq
	}
	return m.State > old.State
}

// Silent notes that a partner did not answer; it returns the new entry and
// whether it became a suspect by this.
func (v *View) MarkSuspect(now time.Duration, name string) (Member, bool) {
	r, ok := v.rows[name]
	if !ok || name == v.self || r.State != Alive {
		return Member{}, false
	}
	next := &row{Member: r.Member, since: now}
	next.State = Suspect
	v.set(next)
	return next.Member, true
}

// Tick ends suspicions that were not refuted and forgets the long dead. It
// returns the members that died now.
func (v *View) Tick(now time.Duration) []Member {
	var died []Member
	for name, r := range v.rows {
		switch {
		case r.State == Suspect && now-r.since > v.opts.SuspectTimeout:
			next := &row{Member: r.Member, since: now}
			next.State = Dead
			v.set(next)
			died = append(died, next.Member)
		case r.State == Dead && now-r.since > v.opts.ForgetAfter:
			v.digest ^= r.hash()
			delete(v.rows, name)
		}
	}
	return died
}

// set puts a row in place of the member's last one and keeps the digest and the
// ring with it, in time that grows with the ring's memory move only.
func (v *View) set(r *row) {
	if old, ok := v.rows[r.Name]; ok {
		v.digest ^= old.hash()
	}
	v.rows[r.Name] = r
	v.digest ^= r.hash()
	s := spot{hash: xxhash.Sum64String(r.Name), name: r.Name}
	i, there := slices.BinarySearchFunc(v.ring, s, compareSpots)
	switch live := r.State != Dead; {
	case live && !there:
		v.ring = slices.Insert(v.ring, i, s)
	case !live && there:
		v.ring = slices.Delete(v.ring, i, i+1)
	}
}

func compareSpots(a, b spot) int {
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

// Digest is equal for equal views.
func (v *View) Digest() uint64 { return v.digest }

// Get returns the entry of that name.
func (v *View) Get(name string) (Member, bool) {
	r, ok := v.rows[name]
	if !ok {
		return Member{}, false
	}
	return r.Member, true
}

// All returns every entry, the dead included, by name.
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

// Partners returns the members this instance beats to: those at distances 1,
// 2, 4, ... after it on the ring.
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

// Lost returns one dead member by the random number r, to be tried again now
// and then, so that a partition heals from either side.
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
