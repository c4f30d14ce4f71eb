// Package level decides what all instances that are alive understand of each
// other, while instances of several builds serve side by side.
//
// Each instance tells the level of its build. What needs all of them, a word that
// an older build would misread, takes force once all have told that level for a
// while, and ends at once when one comes that does not: to be careful for a moment
// too long costs some bytes, too short a word that is misread.
//
// The package is pure: event and time in, decision out.
package level

import (
	"slices"
	"time"
)

// The levels, each with what builds from it on understand beside all below.
const (
	Unannounced         uint32 = iota // builds that tell none: some name a replica by its name in every life, some know no turns of suspects
	ReplicaIncarnations               // replicas by their lives, turns of suspects, statements of replicas, frames that are refused
)

// needs tells, for operators, what takes force with each level.
var needs = map[uint32]string{
	ReplicaIncarnations: "replicas are named once, and a suspect has one arbiter",
}

// Waiting returns what needs a higher level than the one in force, of what this
// build can.
func PendingFeatures(inForce uint32) []string {
	var out []string
	for l := inForce + 1; l <= Current; l++ {
		out = append(out, needs[l])
	}
	return out
}

// This is the level of this build.
const Current = ReplicaIncarnations

// Settle is for how long all must have told a level before it takes force:
// above the silence after which an instance is taken for dead, so that one that is
// away for a moment does not move it twice.
const SettleTime = 3 * time.Second

// Fleet is the level of all instances that are alive. It is not safe for
// concurrent use.
type Tracker struct {
	force  uint32
	risen  uint32        // that all have told since
	since  time.Duration // when
	closed bool          // since and risen hold
}

// Heard takes in the levels of all that are alive, the own one included, and
// reports whether another one is in force now.
func (f *Tracker) Observe(now time.Duration, all []uint32) bool {
	least := slices.Min(all)
	before := f.force
	switch {
	case least <= f.force:
		f.force, f.closed = least, false
	case !f.closed || least < f.risen:
		f.risen, f.since, f.closed = least, now, true
	case now-f.since >= SettleTime:
		f.force, f.closed = f.risen, false
	}
	return f.force != before
}

// InForce is the level that all understand.
func (f *Tracker) InForce() uint32 { return f.force }
