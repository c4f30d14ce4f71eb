// Package rollout decides whether and how the traffic of a service shifts to
// replicas of a new software version (canary release).
//
// An operator orders a rollout with a time limit. Until the version is promoted,
// each instance sends a small part of its own requests to it (the canary phase) and
// reports their outcomes; a few instances judge the totals by sequential tests
// (sequential probability ratio test, CUSUM). The package holds the orders and their
// phases (orders.go), traffic shares (share.go), counters (counts.go), the judgement
// (judge.go, score.go, ends.go) and the next step of the instance that leads a
// rollout (plan.go). It does no I/O and reads no clock: events and times are passed
// in, decisions are returned. None of its types is safe for concurrent use.
package rollout

import (
	"maps"
	"slices"
	"time"

	"quinceroad/coordination/history"
)

// Order is an operator's order to move a service to a version.
type Order struct {
	Service   string
	Target    string        // the version
	At        history.Point // in the store's history, at which it was written; identifies the order
	TimeLimit time.Duration // time within which it should be completed
}

// Phase is the progress of an order as announced by the instances that judge it.
// It never decreases.
type Phase uint8

// The phases.
const (
	Pending  Phase = iota // the order's status is not known: the version gets no requests yet
	Canary                // the version gets a small part of the requests
	Promoted              // all requests shift to the version, in steps
	Rejected              // the version gets no more requests, or the order was withdrawn
	Done                  // the store holds its completion: the old replicas stop
)

// String returns the phase's name for logs.
func (p Phase) String() string {
	return [...]string{"waits", "open", "trusted", "bad", "done"}[min(p, Done)]
}

// Entry is a written or deleted order as received from a watch.
type Entry struct {
	Order
	Deleted bool
}

// OrderState is an order with its phase as known to an instance.
type OrderState struct {
	Order
	OrderedAt   time.Duration // local time at which it was first known
	Phase       Phase
	PhaseSince  time.Duration // local time at which the phase was reached
	Ended       bool          // it was withdrawn, or replaced by another order for its service
	Rewritten   bool          // it was written again after the store's return, which may lack its status; local to this instance
	PausedUntil time.Duration // the version gets no requests until then, as its replicas have restarted; local to this instance
}

// Update is a view as instances send it to each other.
type Update struct {
	At     history.Point // in the store's history, of the set of orders; zero: none was read
	Orders []OrderState  // OrderedAt and PhaseSince hold ages instead of times
}

// Change is a new order, a new phase, or an order's end.
type Change struct {
	OrderState
	New bool
}

// View holds the orders that an instance knows.
type View struct {
	at      history.Point
	current map[string]*OrderState        // by service
	all     map[history.Point]*OrderState // including ended orders
	held    map[string]time.Duration      // see era.go
	renamed []Renamed
}

// NewView returns an empty view.
func NewView() *View {
	return &View{
		current: make(map[string]*OrderState),
		all:     make(map[history.Point]*OrderState),
		held:    make(map[string]time.Duration),
	}
}

// Empty reports whether no order was ever known.
func (v *View) Empty() bool { return len(v.all) == 0 }

// Current returns the active order of a service.
func (v *View) Current(service string) (OrderState, bool) {
	s := v.current[service]
	if s == nil {
		return OrderState{}, false
	}
	return *s, true
}

// Active returns all active orders, sorted by service.
func (v *View) Active() []OrderState {
	var out []OrderState
	for _, service := range slices.Sorted(maps.Keys(v.current)) {
		out = append(out, *v.current[service])
	}
	return out
}

// Unfinished returns the orders that an instance still has to lead, sorted by
// their points: active ones that are not finished, and withdrawn ones without a newer order
// for their service, unless they were completed.
func (v *View) Unfinished(now time.Duration) []OrderState {
	var out []OrderState
	for _, at := range v.points() {
		s := v.all[at]
		current := v.current[s.Service]
		if current == s && !s.IsFinished(now) || current == nil && s.Phase != Done {
			out = append(out, *s)
		}
	}
	return out
}

// Has reports whether an order is in the view, ended or not.
func (v *View) Has(at history.Point) bool { return v.all[at] != nil }

// points returns the points of all orders, sorted.
func (v *View) points() []history.Point {
	return slices.SortedFunc(maps.Keys(v.all), history.Point.Compare)
}

// Replace sets the orders to the complete set read at a point in the store's history.
func (v *View) Replace(now time.Duration, orders []Order, at history.Point) []Change {
	if !at.After(v.at) {
		return nil
	}
	if !v.at.IsZero() && at.Era > v.at.Era {
		v.holdCurrent(now)
	}
	next := make(map[string]Order, len(orders))
	for _, o := range orders {
		next[o.Service] = o
	}
	return v.setOrders(now, next, at)
}

// Apply applies the changes from a watch in their order. The view is complete up to
// the point afterwards. Changes of another era than the view's are ignored.
func (v *View) Apply(now time.Duration, entries []Entry, at history.Point) []Change {
	if at.Era != v.at.Era {
		return nil
	}
	next := make(map[string]Order, len(v.current))
	for service, s := range v.current {
		if _, held := v.held[service]; !held {
			next[service] = s.Order
		}
	}
	for _, e := range entries {
		switch {
		case !e.At.After(v.at):
		case e.Deleted:
			delete(next, e.Service)
			delete(v.held, e.Service)
		default:
			next[e.Service] = e.Order
		}
	}
	return v.setOrders(now, next, history.Latest(at, v.at))
}

// Merge merges another instance's view: the set of orders with the newer revision,
// and the highest phase of each order.
func (v *View) Merge(now time.Duration, u Update) []Change {
	var orders []Order
	for _, s := range u.Orders {
		if !s.Ended {
			orders = append(orders, s.Order)
		}
	}
	changes := v.Replace(now, orders, u.At)
	for _, s := range u.Orders {
		changes = append(changes, v.mergeOrder(now, s)...)
	}
	return changes
}

// mergeOrder merges the received state of one order, which holds ages instead of times.
func (v *View) mergeOrder(now time.Duration, s OrderState) []Change {
	known := v.all[s.At]
	if known == nil {
		if !s.Ended {
			return nil // it belongs to an older set of orders than this view's
		}
		known = &OrderState{Order: s.Order, OrderedAt: now - s.OrderedAt, Ended: true}
		v.all[s.At] = known
	}
	known.OrderedAt = min(known.OrderedAt, now-s.OrderedAt)
	return v.raisePhase(now-s.PhaseSince, s.At, s.Phase)
}

// SetPhase raises the phase of an order; it ignores a phase lower than the known one.
func (v *View) SetPhase(now time.Duration, order history.Point, phase Phase) []Change {
	return v.raisePhase(now, order, phase)
}

func (v *View) raisePhase(since time.Duration, order history.Point, phase Phase) []Change {
	s := v.all[order]
	if s == nil || phase <= s.Phase {
		return nil
	}
	s.Phase, s.PhaseSince = phase, since
	return []Change{{OrderState: *s}}
}

// RecordRestart records the restart of a replica of a version that gets requests.
// The version then gets no requests until restartPause has passed without a further
// restart: requests sent earlier could be interrupted by the same outage, which says
// nothing about the version.
func (v *View) RecordRestart(now time.Duration, service, version string) {
	if s := v.current[service]; s != nil && s.Target == version {
		s.PausedUntil = now + restartPause
	}
}

func (v *View) setOrders(now time.Duration, next map[string]Order, at history.Point) []Change {
	var out []Change
	for _, service := range slices.Sorted(maps.Keys(v.current)) { // in the same order at all instances
		s := v.current[service]
		o, listed := next[service]
		_, held := v.held[service]
		switch {
		case listed && o.At == s.At:
			delete(v.held, service)
			continue
		case listed && held && s.isSameAs(&o):
			v.rename(now, s, o)
			continue
		case !listed && held:
			continue
		}
		delete(v.held, service)
		out = append(out, v.end(now, s))
	}
	for service, o := range next {
		if v.current[service] != nil {
			continue
		}
		s := v.all[o.At]
		if s == nil {
			s = &OrderState{Order: o, OrderedAt: now, PhaseSince: now}
		}
		s.Ended = false
		v.current[service], v.all[o.At] = s, s
		out = append(out, Change{OrderState: *s, New: true})
	}
	v.at = at
	slices.SortFunc(out, func(a, b Change) int { return a.At.Compare(b.At) })
	return out
}

// end ends an active order.
func (v *View) end(now time.Duration, s *OrderState) Change {
	s.Ended = true
	delete(v.current, s.Service)
	if s.Phase < Rejected {
		s.Phase, s.PhaseSince = Rejected, now
	}
	return Change{OrderState: *s}
}

// maxEndedOrders is the number of ended orders that are kept and sent, the newest
// first. It is bounded so that a heartbeat fits into one datagram.
const maxEndedOrders = 8

// Update returns the view to send to other instances and drops ended orders beyond
// maxEndedOrders.
func (v *View) Update(now time.Duration) Update {
	n := Update{At: v.at}
	ended := 0
	for _, at := range slices.Backward(v.points()) {
		s := *v.all[at]
		if _, held := v.held[s.Service]; held && !s.Ended {
			continue // not in the set of orders of this point
		}
		if s.Ended {
			if ended++; ended > maxEndedOrders {
				delete(v.all, at)
				continue
			}
		}
		s.OrderedAt, s.PhaseSince, s.PausedUntil, s.Rewritten = now-s.OrderedAt, now-s.PhaseSince, 0, false
		n.Orders = append(n.Orders, s)
	}
	return n
}
