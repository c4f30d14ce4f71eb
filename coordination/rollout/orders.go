// Package rollout decides how the traffic of a service moves to replicas of a
// new software version, and whether it does.
//
// An operator orders it for a time. Until the version is trusted, each instance
// sends a small part of its own requests there and tells what became of them;
// a few of the instances judge the sums. Its parts: the orders and what is said
// of each (this file), shares (share.go), what was seen (counts.go), the
// judgement (judge.go) and what whoever leads does next (plan.go). All are
// pure: news and time in, decisions out. None is safe for concurrent use.
package rollout

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Order is an operator's wish to move a service to a version.
type Order struct {
	Service   string
	Target    string // the version
	Revision  uint64 // of the store, at which it was written; names the order
	TimeLimit time.Duration
}

// Phase is what is said of an order by those who judge it. It only rises.
type Phase uint8

// The phases.
const (
	Pending  Phase = iota // the order's status is not known: the version gets nothing yet
	Canary                // the version gets a small part of the requests
	Promoted              // all requests move there, in steps
	Rejected              // the version gets nothing any more, or the order was taken back
	Done                  // the store says that it is completed: the old replicas stop
)

// String returns the phase's name for logs.
func (w Phase) String() string {
	return [...]string{"waits", "open", "trusted", "bad", "done"}[min(w, Done)]
}

// Entry is an order as a watch brings it, or its end.
type Entry struct {
	Order
	Gone bool
}

// Standing is an order and what is known of it.
type OrderState struct {
	Order
	OrderedAt   time.Duration // by the own clock, when it was first heard of
	Phase       Phase
	PhaseSince  time.Duration // that the phase is known
	Ended       bool          // it was taken back, or another came for its service
	PausedUntil time.Duration // from when on its version gets requests after its replicas have started again; of this instance alone
}

// News is a view as instances tell it each other.
type Update struct {
	Revision uint64       // of the store, at which the orders were true; 0: nothing is known
	Orders   []OrderState // Begun and Since hold ages instead of times
}

// Change is a new order, a new phase, or an order's end.
type Change struct {
	OrderState
	New bool
}

// View is what an instance knows of the orders.
type View struct {
	revision uint64
	current  map[string]*OrderState // by service
	all      map[uint64]*OrderState // by revision, those that have ended included
}

// NewView returns a view that knows nothing.
func NewView() *View {
	return &View{current: make(map[string]*OrderState), all: make(map[uint64]*OrderState)}
}

// Revision is that of the store at which the orders were true.
func (v *View) Revision() uint64 { return v.revision }

// Empty reports whether no order was ever heard of.
func (v *View) Empty() bool { return len(v.all) == 0 }

// Current returns the order that stands for a service.
func (v *View) Current(service string) (OrderState, bool) {
	s := v.current[service]
	if s == nil {
		return OrderState{}, false
	}
	return *s, true
}

// Standing returns all orders that stand, by service.
func (v *View) Active() []OrderState {
	var out []OrderState
	for _, service := range slices.Sorted(maps.Keys(v.current)) {
		out = append(out, *v.current[service])
	}
	return out
}

// Led returns the orders that somebody has to lead: those that stand and are not
// over, and those that were taken back, by service.
func (v *View) Unfinished(now time.Duration) []OrderState {
	var out []OrderState
	for _, revision := range slices.Sorted(maps.Keys(v.all)) {
		s := v.all[revision]
		current := v.current[s.Service]
		if current == s && !s.IsFinished(now) || current == nil && s.Phase != Done {
			out = append(out, *s)
		}
	}
	return out
}

// Knows reports whether an order is known, or was.
func (v *View) Has(revision uint64) bool { return v.all[revision] != nil }

// Replace takes in the orders as they were read whole at a revision.
func (v *View) Replace(now time.Duration, orders []Order, revision uint64) []Change {
	if revision <= v.revision {
		return nil
	}
	next := make(map[string]Order, len(orders))
	for _, o := range orders {
		next[o.Service] = o
	}
	return v.become(now, next, revision)
}

// Apply takes in what a watch brought, in its order, after which all up to a
// revision is known.
func (v *View) Apply(now time.Duration, entries []Entry, at uint64) []Change {
	next := make(map[string]Order, len(v.current))
	for service, s := range v.current {
		next[service] = s.Order
	}
	for _, e := range entries {
		switch {
		case e.Revision <= v.revision:
		case e.Gone:
			delete(next, e.Service)
		default:
			next[e.Service] = e.Order
		}
	}
	return v.become(now, next, max(at, v.revision))
}

// Take takes in what another instance tells: the newest set of orders, and the
// highest phase on each.
func (v *View) Merge(now time.Duration, n Update) []Change {
	var orders []Order
	for _, s := range n.Orders {
		if !s.Ended {
			orders = append(orders, s.Order)
		}
	}
	changes := v.Replace(now, orders, n.Revision)
	for _, s := range n.Orders {
		changes = append(changes, v.hear(now, s)...)
	}
	return changes
}

// hear takes in what is said of one order; ages are in the place of times.
func (v *View) hear(now time.Duration, s OrderState) []Change {
	known := v.all[s.Revision]
	if known == nil {
		if !s.Ended {
			return nil // of a set of orders that is older than the own one
		}
		known = &OrderState{Order: s.Order, OrderedAt: now - s.OrderedAt, Ended: true}
		v.all[s.Revision] = known
	}
	known.OrderedAt = min(known.OrderedAt, now-s.OrderedAt)
	return v.say(now-s.PhaseSince, s.Revision, s.Phase)
}

// Say takes in a phase on an order; a lower one than is known changes nothing.
func (v *View) SetPhase(now time.Duration, revision uint64, w Phase) []Change {
	return v.say(now, revision, w)
}

func (v *View) say(since time.Duration, revision uint64, w Phase) []Change {
	s := v.all[revision]
	if s == nil || w <= s.Phase {
		return nil
	}
	s.Phase, s.PhaseSince = w, since
	return []Change{{OrderState: *s}}
}

// StartedAgain takes in that a replica of a version, one of those that get requests,
// has started again. Until calmFor has gone by without another the version gets none:
// what is let in meanwhile would be cut off by the next, and say nothing of it.
func (v *View) RecordRestart(now time.Duration, service, version string) {
	if s := v.current[service]; s != nil && s.Target == version {
		s.PausedUntil = now + calmFor
	}
}

func (v *View) become(now time.Duration, next map[string]Order, revision uint64) []Change {
	var out []Change
	for service, s := range v.current {
		if next[service].Revision == s.Revision {
			continue
		}
		s.Ended = true
		delete(v.current, service)
		if s.Phase < Rejected {
			s.Phase, s.PhaseSince = Rejected, now
		}
		out = append(out, Change{OrderState: *s})
	}
	for service, o := range next {
		if v.current[service] != nil {
			continue
		}
		s := &OrderState{Order: o, OrderedAt: now, PhaseSince: now}
		v.current[service], v.all[o.Revision] = s, s
		out = append(out, Change{OrderState: *s, New: true})
	}
	v.revision = revision
	slices.SortFunc(out, func(a, b Change) int { return cmp.Compare(a.Revision, b.Revision) })
	return out
}

// mostEnded orders that have ended are kept and told, the newest; a heartbeat
// has to stay one datagram.
const mostEnded = 8

// News returns the view for others.
func (v *View) Update(now time.Duration) Update {
	n := Update{Revision: v.revision}
	ended := 0
	for _, revision := range slices.Backward(slices.Sorted(maps.Keys(v.all))) {
		s := *v.all[revision]
		if s.Ended {
			if ended++; ended > mostEnded {
				delete(v.all, revision)
				continue
			}
		}
		s.OrderedAt, s.PhaseSince, s.PausedUntil = now-s.OrderedAt, now-s.PhaseSince, 0
		n.Orders = append(n.Orders, s)
	}
	return n
}
