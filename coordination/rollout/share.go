package rollout

import (
	"math"
	"time"

	"quinceroad/coordination/history"
	"quinceroad/coordination/rendezvous"
)

const (
	// Fraction of the allowed share that the version gets. At 0.7 a route with a fifth of
	// 100 requests/s is judged in 8 s, at 0.5 in 11 s; the rest is left for the shift.
	canaryFraction = 0.7
	rampStepTime   = 400 * time.Millisecond // between steps after promotion: two heartbeats and one evaluation by the judging instances
	// Time after completion for which old replicas get no requests: they stop at once, but
	// replica lists lag by 3 s.
	retireTime      = 10 * time.Second
	restartPause    = 1 * time.Second // twice burstWindow, so that later ends of replicas form a burst of their own
	firstRampShare  = 0.25            // share of requests in the first step after promotion
	secondRampShare = 0.5             // share of requests in the second step
)

// Share returns the fraction of a service's requests that the order's version gets
// now; canary is the largest share of a version that is not promoted.
func (s *OrderState) Share(now time.Duration, canary float64) float64 {
	switch s.Phase {
	case Canary:
		if now < s.PausedUntil {
			return 0
		}
		return canary * canaryFraction
	case Promoted:
		switch since := now - s.PhaseSince; {
		case since < rampStepTime:
			return firstRampShare
		case since < 2*rampStepTime:
			return secondRampShare
		}
		return 1
	case Done:
		return 1
	}
	return 0
}

// IsFinished reports whether the order is completed and its old replicas have stopped.
func (s *OrderState) IsFinished(now time.Duration) bool {
	return s.Phase == Done && now-s.PhaseSince >= retireTime
}

// IsFullyShifted reports whether all requests go to the order's version.
func (s *OrderState) IsFullyShifted(now time.Duration) bool { return s.Share(now, 0) >= 1 }

// Withheld reports whether replicas of a version of a service get no requests now.
// others is true if replicas of another version could take its requests, shifted if
// all requests go to the ordered version already.
func (v *View) Withheld(service, version string, others, shifted bool) bool {
	s := v.current[service]
	switch {
	case s != nil && s.Target == version:
		return s.Phase == Rejected || s.Phase == Pending && others
	case s != nil && shifted && s.Phase != Rejected:
		return true
	}
	last := v.latestOrder(service, version)
	return last != nil && last.Ended && last.Phase == Rejected
}

// latestOrder returns the newest known order for a version of a service. Older ended
// orders don't apply to a version that was ordered again later.
func (v *View) latestOrder(service, version string) *OrderState {
	var last *OrderState
	for _, s := range v.all {
		if s.Service == service && s.Target == version && (last == nil || s.At.After(last.At)) {
			last = s
		}
	}
	return last
}

// SelectReplicas returns which of an order's new replicas get requests at the current
// share: enough that each is as busy as an old replica, and the same ones at every
// instance.
func (s *OrderState) SelectReplicas(now time.Duration, canary float64, replicas []string) map[string]bool {
	n := max(int(math.Ceil(s.Share(now, canary)*float64(len(replicas)))), minSelected)
	out := make(map[string]bool, n)
	for range min(n, len(replicas)) {
		best, maxWeight := "", uint64(0)
		for _, id := range replicas {
			if w := rendezvous.Weight(s.Target, id); !out[id] && (best == "" || w > maxWeight) {
				best, maxWeight = id, w
			}
		}
		out[best] = true
	}
	return out
}

// minSelected is the number of replicas needed to distinguish one faulty replica of a
// good version from a bad version.
const minSelected = 2

// TrafficSplitter counts the requests that one incarnation of an instance sends to a
// service during a rollout, per route so that the version gets requests of each route.
// It bounds the version to its share of these requests at every moment, so the totals
// over all instances and incarnations are bounded too, without a shared counter.
type TrafficSplitter struct {
	initialCredit float64 // fraction of a request, 0 to 1, that the version may get at the start
	counts        map[sendKey]*sendCounts
}

type sendKey struct {
	order history.Point
	route string
	share float64 // counts start at 0 for each new share
}

type sendCounts struct{ all, toTarget float64 }

// NewTrafficSplitter returns a splitter without counts. initialCredit should be drawn
// evenly from 0 to 1 for each incarnation: where every instance sends few requests,
// rounding down would leave the version without any, and rounding up would give it one
// from each instance.
func NewTrafficSplitter(initialCredit float64) *TrafficSplitter {
	return &TrafficSplitter{initialCredit: initialCredit, counts: make(map[sendKey]*sendCounts)}
}

func (t *TrafficSplitter) countsFor(order history.Point, route string, share float64) *sendCounts {
	k := sendKey{order, route, share}
	s := t.counts[k]
	if s == nil {
		s = &sendCounts{}
		t.counts[k] = s
	}
	return s
}

// Allows reports whether n more requests may go to an order's version.
func (t *TrafficSplitter) Allows(order history.Point, route string, share float64, n int) bool {
	if share <= 0 || share >= 1 {
		return share >= 1
	}
	s, k := t.countsFor(order, route, share), float64(n)
	return s.toTarget+k <= share*(s.all+k)+t.initialCredit*k
}

// Record counts n requests that were sent, to the order's version if toTarget is true.
func (t *TrafficSplitter) Record(order history.Point, route string, share float64, n int, toTarget bool) {
	s := t.countsFor(order, route, share)
	s.all += float64(n)
	if toTarget {
		s.toTarget += float64(n)
	}
}

// Prune drops the counts of orders for which keep returns false.
func (t *TrafficSplitter) Prune(keep func(order history.Point) bool) {
	for k := range t.counts {
		if !keep(k.order) {
			delete(t.counts, k)
		}
	}
}

// Rename moves the counts of an order to the point at which it was written again.
func (t *TrafficSplitter) Rename(r Renamed) {
	for k, counts := range t.counts {
		if k.order == r.Was {
			delete(t.counts, k)
			t.counts[sendKey{r.Is, k.route, k.share}] = counts
		}
	}
}
