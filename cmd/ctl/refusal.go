package ctl

import (
	"cmp"
	"slices"
	"time"

	"quinceroad/protocol/event"
)

// refusal is an owner's log line of a request whose stages it refused.
type refusal struct {
	at            time.Time     // by its owner's clock
	expected      time.Duration // duration of the stages, with queueing
	serviceTime   time.Duration // part of expected without queueing
	bottleneck    string        // service of the pool with the longest expected wait
	limit         time.Duration // maximum of expected for admission
	objectiveLeft time.Duration // part of the objective left for the stages
	engineTime    time.Duration // expected duration of the engine after the stages; 0: not logged
	rateLimited   bool          // refused because all engines are rate limited
}

func parseRefusal(l *logLine) *refusal {
	return &refusal{
		at:            l.time(),
		expected:      l.duration("expected"),
		serviceTime:   l.duration("own"),
		bottleneck:    l.field("bound"),
		limit:         l.duration("limit"),
		objectiveLeft: l.duration("objective"),
		engineTime:    l.duration("engine_expected"),
		rateLimited:   l.event == event.NodeSendGrantRefused.Number,
	}
}

// addRefusal records the line if an owner refused a request with it.
func (a *lossAggregate) addRefusal(l *logLine) {
	if l.event == event.NodeJobRefused.Number || l.event == event.NodeSendGrantRefused.Number {
		a.refusals[l.request] = append(a.refusals[l.request], parseRefusal(l))
	}
}

// maxClockSkew is the assumed maximum difference between the clocks of two instances.
// It must be shorter than the clients' retry delay of at least a second, so that a
// refusal is not attributed to the following attempt.
const maxClockSkew = 300 * time.Millisecond

// findRefusal returns the refusal that the client of an attempt received: the first one
// since the attempt arrived. A region that the request spilled over to may have refused
// it later. It returns nil if no refusal of the request was logged.
func (a *lossAggregate) findRefusal(end *logLine) *refusal {
	all := a.refusals[end.request]
	slices.SortStableFunc(all, func(x, y *refusal) int { return x.at.Compare(y.at) })
	arrived := end.time().Add(-end.duration("took") - maxClockSkew)
	for _, r := range all {
		if r.at.After(arrived) {
			return r
		}
	}
	if len(all) == 0 {
		return nil
	}
	return all[len(all)-1] // the owner's clock differs by more than maxClockSkew
}

// cause returns why a request was refused; end is the log line of its end.
func (r *refusal) cause(end *logLine) string {
	const refused = "refused, "
	spent, engine := r.spentBeforeStages(end)
	switch {
	case r.rateLimited:
		return refused + "limits of all its engines"
	case r.serviceTime == 0 || r.serviceTime <= r.limit:
		return refused + "pool " + cmp.Or(r.bottleneck, "not known")
	case r.serviceTime > end.duration("objective"):
		return refused + "stages alone"
	case engine >= spent:
		return refused + "engine"
	}
	return refused + "slack at arrival"
}

// spentBeforeStages returns the parts of the request's objective that were not left for
// its stages: the time from its arrival until the owner received it, and the time
// reserved for its engine. Where the latter is not logged, the former is nearly the
// whole duration of a refused request.
func (r *refusal) spentBeforeStages(end *logLine) (spent, engine time.Duration) {
	deducted := max(end.duration("objective")-r.objectiveLeft, 0)
	if r.engineTime > 0 {
		return max(deducted-r.engineTime, 0), r.engineTime
	}
	spent = end.duration("took")
	return spent, max(deducted-spent, 0)
}
