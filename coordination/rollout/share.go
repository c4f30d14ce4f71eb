package rollout

import (
	"math"
	"time"

	"quinceroad/coordination/rendezvous"
)

const (
	openPart  = 0.7                    // of the share that a version may get, that it does get: a route that makes a fifth of 100 a second is judged in 8 s, at 0.5 in 11; the rest is for the move
	rampStep  = 400 * time.Millisecond // between steps once it is trusted: two heartbeats and a look of those who judge
	doneFor   = 10 * time.Second       // that the old replicas get nothing after a completion: they stop at once, lists lag by 3 s
	calmFor   = 1 * time.Second        // twice waveFor, so that ends under what is let in after it are a wave of their own
	firstStep = 0.25
	nextStep  = 0.5
)

// Share returns which part of the requests to an order's service its version gets
// now, by the share of a version that is not trusted.
func (s *OrderState) Share(now time.Duration, canary float64) float64 {
	switch s.Phase {
	case Canary:
		if now < s.PausedUntil {
			return 0
		}
		return canary * openPart
	case Promoted:
		switch since := now - s.PhaseSince; {
		case since < rampStep:
			return firstStep
		case since < 2*rampStep:
			return nextStep
		}
		return 1
	case Done:
		return 1
	}
	return 0
}

// Over reports whether the order is completed and its old replicas are gone by now.
func (s *OrderState) IsFinished(now time.Duration) bool {
	return s.Phase == Done && now-s.PhaseSince >= doneFor
}

// Moved reports whether all requests go to the order's version.
func (s *OrderState) IsFullyShifted(now time.Duration) bool { return s.Share(now, 0) >= 1 }

// Withheld reports whether replicas of a version of a service get nothing now;
// others reports whether replicas of another version could take its requests,
// moved whether all of them go to the ordered version by now.
func (v *View) Withheld(service, version string, others, moved bool) bool {
	s := v.current[service]
	switch {
	case s != nil && s.Target == version:
		return s.Phase == Rejected || s.Phase == Pending && others
	case s != nil && moved && s.Phase != Rejected:
		return true
	}
	last := v.last(service, version)
	return last != nil && last.Ended && last.Phase == Rejected
}

// last returns the newest order that is known for a version of a service: one
// that ended earlier says nothing of a version that came in by a later one.
func (v *View) last(service, version string) *OrderState {
	var last *OrderState
	for _, s := range v.all {
		if s.Service == service && s.Target == version && (last == nil || s.Revision > last.Revision) {
			last = s
		}
	}
	return last
}

// Chosen returns which of an order's new replicas get requests at a share: so
// many that each is as busy as an old one, the same ones at every instance.
func (s *OrderState) SelectReplicas(now time.Duration, canary float64, replicas []string) map[string]bool {
	n := max(int(math.Ceil(s.Share(now, canary)*float64(len(replicas)))), leastChosen)
	out := make(map[string]bool, n)
	for range min(n, len(replicas)) {
		best, most := "", uint64(0)
		for _, id := range replicas {
			if w := rendezvous.Weight(s.Target, id); !out[id] && (best == "" || w > most) {
				best, most = id, w
			}
		}
		out[best] = true
	}
	return out
}

// leastChosen replicas tell one ill replica of a good version from a bad version.
const leastChosen = 2

// Ledger counts what one life of an instance sends to a service in a roll-out,
// apart by route, so that the version sees each. It holds the version to its
// share of these sends at every moment, so the sums over all instances and
// lives hold it too, with no counter that they share.
type Ledger struct {
	start float64 // 0 to 1: the part of a request that is owed from the start
	pages map[page]*sends
}

type page struct {
	order uint64
	route string
	share float64 // each step counts anew
}

type sends struct{ all, newer float64 }

// NewLedger returns an empty ledger. start differs from life to life, evenly
// between 0 and 1: where every instance sends little, rounding down would leave
// the version without requests, and rounding up would give it one from each.
func NewLedger(start float64) *Ledger {
	return &Ledger{start: start, pages: make(map[page]*sends)}
}

func (l *Ledger) page(order uint64, route string, share float64) *sends {
	k := page{order, route, share}
	s := l.pages[k]
	if s == nil {
		s = &sends{}
		l.pages[k] = s
	}
	return s
}

// May reports whether so many more requests may go to an order's version.
func (l *Ledger) Allows(order uint64, route string, share float64, n int) bool {
	if share <= 0 || share >= 1 {
		return share >= 1
	}
	s, k := l.page(order, route, share), float64(n)
	return s.newer+k <= share*(s.all+k)+l.start*k
}

// Sent counts requests that are sent, to the new version or not.
func (l *Ledger) Record(order uint64, route string, share float64, n int, newer bool) {
	s := l.page(order, route, share)
	s.all += float64(n)
	if newer {
		s.newer += float64(n)
	}
}

// Forget drops the orders that keep does not know.
func (l *Ledger) Prune(keep func(order uint64) bool) {
	for k := range l.pages {
		if !keep(k.order) {
			delete(l.pages, k)
		}
	}
}
