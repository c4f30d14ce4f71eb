package ctl

import (
	"cmp"
	"time"

	"quinceroad/protocol/event"
)

// refusal is what an owner said as it refused a request's stages.
type refusal struct {
	expected  time.Duration // that the stages would take
	own       time.Duration // of it, where nothing waits
	bound     string        // service whose pool they would wait for longest
	limit     time.Duration // that expected was held against
	objective time.Duration // that was left for the stages
}

func refusalOf(l *logLine) *refusal {
	return &refusal{
		expected:  l.duration("expected"),
		own:       l.duration("own"),
		bound:     l.field("bound"),
		limit:     l.duration("limit"),
		objective: l.duration("objective"),
	}
}

// takeRefusal notes what a refused request's owner said.
func (a *account) takeRefusal(l *logLine) {
	if l.event == event.NodeJobRefused.Number {
		a.refusals[l.request] = refusalOf(l)
	}
}

// cause names what bound a refused request; end is the line of its end.
func (r *refusal) cause(end *logLine) string {
	const refused = "refused, "
	spent, engine := r.before(end)
	switch {
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
// the time from its arrival until the owner was asked, which is nearly all
// that a refused request took, and what was kept for its engine.
func (r *refusal) before(end *logLine) (spent, engine time.Duration) {
	spent = end.duration("took")
	engine = max(end.duration("objective")-r.objective-spent, 0)
	return spent, engine
}
