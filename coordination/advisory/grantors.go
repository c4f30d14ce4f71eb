package advisory

import (
	"slices"
	"time"
)

// Grantors is the number of instances that a sender asks for a slot lease of a replica: the
// grantor, and if that doesn't answer, its deputy.
const Grantors = 2

// grantorState is what this instance knows of the grantors of a replica.
type grantorState struct {
	isKnown     bool                    // one of them issues leases
	deniedUntil time.Duration           // there is no slot before this time
	lostUntil   [Grantors]time.Duration // by rank: it didn't answer, and is not asked before this time
}

// next returns the rank of the grantor to ask, or false if none can be asked now.
func (g *grantorState) next(now time.Duration) (rank int, ok bool) {
	for rank, until := range g.lostUntil {
		if now >= until {
			return rank, true
		}
	}
	return 0, false
}

// admits reports whether a lease may be asked for, and if not, from when on. It is undecided
// while no grantor can be asked.
func (g *grantorState) admits(now time.Duration) (ok bool, from time.Duration, decided bool) {
	if _, ok := g.next(now); !ok || !g.isKnown {
		return false, 0, false
	}
	return now >= g.deniedUntil, max(now, g.deniedUntil), true
}

// isOver reports whether nothing that is known holds on.
func (g *grantorState) isOver(now time.Duration) bool {
	return now >= g.deniedUntil && now >= slices.Max(g.lostUntil[:])
}

// NextGrantor returns the rank of the grantor to ask for a lease of a replica, or false if
// none can be asked now.
func (t *Tracker) NextGrantor(now time.Duration, incarnation string) (rank int, ok bool) {
	r := t.entries[incarnation]
	if r == nil {
		return 0, true
	}
	return r.grantor.next(now)
}

// RecordLeaseDenied records that a replica has no slot before the given time.
func (t *Tracker) RecordLeaseDenied(now time.Duration, incarnation string, until time.Duration) {
	g := &t.entry(now, incarnation).grantor
	g.isKnown = true
	g.deniedUntil = until
}

// RecordGrantorLost records that a grantor of a replica doesn't answer. It isn't asked before
// the given time, though others may ask it.
func (t *Tracker) RecordGrantorLost(now time.Duration, incarnation string, rank int, until time.Duration) {
	g := &t.entry(now, incarnation).grantor
	g.isKnown = true
	g.lostUntil[rank] = until
}

// RecordNoLeases records that a replica's grantor doesn't issue leases before the given time,
// to nobody.
func (t *Tracker) RecordNoLeases(now time.Duration, incarnation string, until time.Duration) {
	g := &t.entry(now, incarnation).grantor
	g.isKnown = false
	for rank := range g.lostUntil {
		g.lostUntil[rank] = until
	}
}

// BeginLeased counts a request that has a slot lease, right before it is sent, and returns
// false if another advisory forbids it.
func (t *Tracker) BeginLeased(now time.Duration, incarnation string) (Attempt, bool) {
	r := t.entries[incarnation]
	if r == nil {
		return Attempt{}, true
	}
	if ok, _ := r.mayStart(now, t.opts.RampInterval); !ok {
		return Attempt{}, false
	}
	r.ramp.begin(now)
	return Attempt{ramp: r.ramp, entry: r, startedAt: now}, true
}
