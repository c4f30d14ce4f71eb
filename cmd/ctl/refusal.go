package ctl

import (
	"cmp"
	"slices"
	"time"

	"quinceroad/protocol/event"
)

// refusal is what an owner said as it refused a request's stages.
type refusal struct {
	at        time.Time     // by its owner's clock
	expected  time.Duration // that the stages would take
	own       time.Duration // of it, where nothing waits
	bound     string        // service whose pool they would wait for longest
	limit     time.Duration // that expected was held against
	objective time.Duration // that was left for the stages
	engine    time.Duration // that its engine was expected to take after them; 0: not told
	limits    bool          // for what all engines state that they take
}

func refusalOf(l *logLine) *refusal {
	return &refusal{
		at:        l.time(),
		expected:  l.duration("expected"),
		own:       l.duration("own"),
		bound:     l.field("bound"),
		limit:     l.duration("limit"),
		objective: l.duration("objective"),
		engine:    l.duration("engine_expected"),
		limits:    l.event == event.NodeSendGrantRefused.Number,
	}
}

// takeRefusal notes what a refused request's owner said.
func (a *account) takeRefusal(l *logLine) {
	if l.event == event.NodeJobRefused.Number || l.event == event.NodeSendGrantRefused.Number {
		a.refusals[l.request] = append(a.refusals[l.request], refusalOf(l))
	}
}

// clocksApart is how much the clocks of two instances may differ, for lines of
// one request: clients come back after a second and more.
const clocksApart = 300 * time.Millisecond

// refusalOf returns what the client of an attempt was told: the first refusal
// since it came. A region that lends may refuse after the own one. It is nil
// when no log tells of any.
func (a *account) refusalOf(end *logLine) *refusal {
	all := a.refusals[end.request]
	slices.SortStableFunc(all, func(x, y *refusal) int { return x.at.Compare(y.at) })
	came := end.time().Add(-end.duration("took") - clocksApart)
	for _, r := range all {
		if r.at.After(came) {
			return r
		}
	}
	if len(all) == 0 {
		return nil
	}
	return all[len(all)-1] // its owner's clock is further off
}

// cause names what bound a refused request; end is the line of its end.
func (r *refusal) cause(end *logLine) string {
	const refused = "refused, "
	spent, engine := r.before(end)
	switch {
	case r.limits:
		return refused + "limits of all its engines"
	case r.own == 0 || r.own <= r.limit:
		return refused + "pool " + cmp.Or(r.bound, "not known")
	case r.own > end.duration("objective"):
		return refused + "stages alone"
	case engine >= spent:
		return refused + "engine"
	}
	return refused + "slack at arrival"
}

// before returns what was taken off the request's objective before its stages:
// the time from its arrival until the owner was asked, and what was kept for
// its engine. Where the latter is not told, the former is nearly all that a
// refused request took.
func (r *refusal) before(end *logLine) (spent, engine time.Duration) {
	gone := max(end.duration("objective")-r.objective, 0)
	if r.engine > 0 {
		return max(gone-r.engine, 0), r.engine
	}
	spent = end.duration("took")
	return spent, max(gone-spent, 0)
}
