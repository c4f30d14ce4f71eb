package rollout

import (
	"maps"
	"slices"
	"time"

	"quinceroad/coordination/history"
)

// The store may come back from a copy that lacks an order, or its status. The operator writes
// the order again, at a later point: it is the same order, with the phase that it had.

// heldOrderTTL is the time for which an order that the store's copy lacks stays active.
// Operators write their orders again within seconds.
const heldOrderTTL = 5 * time.Second

// Renamed is an order that was written again in a later era.
type Renamed struct{ Was, Is history.Point }

// TakeRenamed returns the orders that were written again since the last call.
func (v *View) TakeRenamed() []Renamed {
	out := v.renamed
	v.renamed = nil
	return out
}

// holdCurrent keeps the active orders of the previous era until they are written again.
func (v *View) holdCurrent(now time.Duration) {
	for service := range v.current {
		v.held[service] = now + heldOrderTTL
	}
}

// Expire ends the orders of the previous era that were not written again in time.
func (v *View) Expire(now time.Duration) []Change {
	var out []Change
	for _, service := range slices.Sorted(maps.Keys(v.held)) {
		if now < v.held[service] {
			continue
		}
		delete(v.held, service)
		if s := v.current[service]; s != nil {
			out = append(out, v.end(now, s))
		}
	}
	return out
}

// isSameAs reports whether an order that was written in a later era is this one.
func (s *OrderState) isSameAs(o *Order) bool {
	return s.Service == o.Service && s.Target == o.Target && s.TimeLimit == o.TimeLimit
}

// rename gives an active order the point at which it was written again. The time since its
// completion starts anew, as its status has to be written again.
func (v *View) rename(now time.Duration, s *OrderState, o Order) {
	v.renamed = append(v.renamed, Renamed{Was: s.At, Is: o.At})
	delete(v.all, s.At)
	delete(v.held, s.Service)
	s.Order, s.Rewritten = o, true
	v.all[o.At] = s
	if s.Phase == Done {
		s.PhaseSince = now
	}
}
