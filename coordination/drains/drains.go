// Package drains holds the replicas that are taken for draining though they have not said so.
//
// What is inferred may be wrong, so it ends by itself and the replica is tried again. It is weak if
// sound replicas do now and then what it is inferred from: then it lasts for a short time, is told
// to nobody, never leaves a service less than half of its replicas, and ends with the first request
// that the replica serves.
//
// The package does no I/O and reads no clock. A Table is not safe for concurrent use.
package drains

import "time"

// Strength is how sure an inference is.
type Strength int

// The strengths.
const (
	Weak   Strength = iota // from a refusal that closes its connection, as full replicas make, too
	Strong                 // another replica answers at the address, or a peer says so
)

const (
	strongTTL = 2 * time.Minute
	// WeakTTL is the time for which a weak inference holds: by then the store's list shows
	// those that drain.
	WeakTTL = 3 * time.Second
)

// inference is a drain that a replica has not stated.
type inference struct {
	at       time.Duration // time at which it was first made
	strength Strength
}

func (i inference) hasExpired(now time.Duration) bool {
	if i.strength == Weak {
		return now-i.at > WeakTTL
	}
	return now-i.at > strongTTL
}

// Table holds the inferences by incarnation.
type Table struct{ byIncarnation map[string]inference }

// NewTable returns a table without inferences.
func NewTable() *Table { return &Table{byIncarnation: make(map[string]inference)} }

// MayInferWeakly reports whether one more replica of a service may be taken for draining by a weak
// inference, with the given numbers of its replicas that are listed and accept work. If that left less than half,
// more likely all of them are full.
func MayInferWeakly(listed, eligible int) bool { return 2*(eligible-1) >= listed }

// Add adds an inference, and reports whether it is new or stronger than the one there was.
func (t *Table) Add(now time.Duration, incarnation string, s Strength) bool {
	known, ok := t.byIncarnation[incarnation]
	if ok && known.strength >= s {
		return false
	}
	t.byIncarnation[incarnation] = inference{at: now, strength: s}
	return true
}

// RecordServed records that a replica has served a request, and reports whether that has ended an
// inference.
func (t *Table) RecordServed(incarnation string) bool {
	i, ok := t.byIncarnation[incarnation]
	if !ok || i.strength != Weak {
		return false
	}
	delete(t.byIncarnation, incarnation)
	return true
}

// Expire ends the inferences whose replicas are to be tried again, and returns these.
func (t *Table) Expire(now time.Duration) (tried []string) {
	for incarnation, i := range t.byIncarnation {
		if i.hasExpired(now) {
			delete(t.byIncarnation, incarnation)
			tried = append(tried, incarnation)
		}
	}
	return tried
}

// Has reports whether a replica is taken for draining.
func (t *Table) Has(incarnation string) bool {
	_, ok := t.byIncarnation[incarnation]
	return ok
}

// Recent returns at most limit replicas with a strong inference that was made within a time, which
// are to be told to peers.
func (t *Table) Recent(now, within time.Duration, limit int) (out []string) {
	for incarnation, i := range t.byIncarnation {
		if i.strength == Strong && now-i.at < within && len(out) < limit {
			out = append(out, incarnation)
		}
	}
	return out
}
