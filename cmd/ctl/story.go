package ctl

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"quinceroad/protocol/event"
)

// story is what the logs of any instances say of one request.
type story struct {
	id          string
	fingerprint string          // its fingerprint; "" until a line has told it
	own         []*logLine      // name the request
	others      []*logLine      // tell of those that it met, about that time
	replicas    map[string]bool // that it was sent to
	instances   map[string]bool // that took it, or own its pools
	versions    map[string]bool // of the configuration, that it was served by
	from, to    time.Time       // that the others are looked for
}

// before is how long before the request what befell others is of interest;
// clocks of instances differ by some of it.
const before = 10 * time.Second

func newStory(id string) *story {
	return &story{id: id, replicas: make(map[string]bool), instances: make(map[string]bool), versions: make(map[string]bool)}
}

// takeOwn keeps a line that names the request.
func (s *story) takeOwn(l *logLine) {
	if !l.names(s.id) {
		return
	}
	s.own = append(s.own, l)
	if f := l.field("fingerprint"); f != "" {
		s.fingerprint = f
	}
	s.instances[l.instance] = true
	if owner := l.field("owner"); owner != "" {
		s.instances[owner] = true
	}
	if replica := l.field("replica"); replica != "" {
		s.replicas[replica] = true
	}
	if version := l.field("version"); version != "" {
		s.versions[version] = true
	}
	at := l.time()
	began := at.Add(-l.duration("took")).Add(-before)
	if s.from.IsZero() || began.Before(s.from) {
		s.from = began
	}
	if at.After(s.to) {
		s.to = at
	}
}

// Events that tell of a replica, of an instance by its name, and of the
// instance that logs them.
var (
	ofReplicas = []*event.Event{event.NodeReplicaDraining, event.NodeReplicaWarming, event.NodeReplicaEjected, event.NodeReplicaReinstated, event.NodeBatchFailed, event.NodeReplicaEnded,
		event.NodeReplicaDrainAdvisory, event.NodeReplicaBackoff, event.NodeReplicaBackoffEnded, event.NodeReplicaRateLimited, event.NodeReplicaRateLimitLifted}
	ofInstances = []*event.Event{event.NodeInstanceDead, event.NodeOwnerUnreachable}
	ofItself    = []*event.Event{
		event.NodeStarted, event.NodeStopping, event.NodeHallDrained, event.NodeHallReturned, event.NodeStoreUnreachable, event.NodeStoreReachable,
		event.NodeStoreUnresponsive, event.NodeStoreResponsive, event.NodeStoreCallAbandoned, event.NodePoolsOwned,
	}
)

// takeOthers keeps a line that tells of what the request met.
func (s *story) takeOthers(l *logLine) {
	at := l.time()
	if l.names(s.id) || at.Before(s.from) || at.After(s.to) {
		return
	}
	is := func(e *event.Event) bool { return e.Number == l.event }
	switch {
	case l.field("why") == "hearsay" && !s.instances[l.instance]:
		return // the same evidence again, at an instance that the request did not meet
	case s.fingerprint != "" && l.field("fingerprint") == s.fingerprint: // also of its caller's other tries
	case slices.ContainsFunc(ofReplicas, is) && s.replicas[l.field("replica")]:
	case slices.ContainsFunc(ofInstances, is) && (s.instances[l.field("name")] || s.instances[l.field("owner")]):
	case slices.ContainsFunc(ofItself, is) && s.instances[l.instance]:
	case is(event.NodeConfigAdopted) && s.instances[l.instance] && s.versions[l.field("version")]:
	default:
		return
	}
	s.others = append(s.others, l)
}

// last returns the request's last line of an event.
func (s *story) last(e *event.Event) *logLine {
	for _, l := range slices.Backward(s.own) {
		if l.event == e.Number {
			return l
		}
	}
	return nil
}

// verdict says in a sentence where the request's worth went.
func (s *story) verdict() string {
	return s.outcome() + s.lent()
}

// lent says where the request went beside its own region.
func (s *story) lent() string {
	asked := s.last(event.NodeRegionAsked)
	if asked == nil {
		return ""
	}
	if asked.field("refused") == "true" {
		return fmt.Sprintf(" Its own region did not take it; region %s was asked and refused after %s.", asked.field("region"), asked.field("took"))
	}
	return fmt.Sprintf(" Its own region did not take it; region %s was asked.", asked.field("region"))
}

func (s *story) outcome() string {
	end := s.last(event.NodeRequest)
	if end == nil {
		return "No instance logged the request's end: who had taken it was killed, or is still at work on it."
	}
	noTurn := s.last(event.NodeSendGrantRefused)
	refused, failed, attempt := s.last(event.NodeJobRefused), s.last(event.NodeJobFailed), s.last(event.NodeAttemptFailed)
	switch why := end.field("why"); {
	case why == whyServed:
		return served(end)
	case strings.HasPrefix(why, overShare):
		return overShareOf(end)
	case strings.HasPrefix(why, "stages refused") && refused != nil:
		return refusedBy(refused, end)
	case strings.HasPrefix(why, "stages refused") && noTurn != nil:
		return noTurnOf(noTurn)
	case strings.HasPrefix(why, "stages failed") && failed != nil:
		return fmt.Sprintf("Admitted, then given up by %s after %s: %s.", failed.instance, failed.field("after"), failed.field("why"))
	case why == event.ReasonQuarantined:
		return fmt.Sprintf("Not sent by %s: replicas have ended under this request before (fingerprint %s); see the lines beside it.", end.instance, s.fingerprint)
	case attempt != nil:
		return fmt.Sprintf("Lost at replica %s after %s: %s; %s attempts in all, on a connection used before: %s.",
			attempt.field("replica"), attempt.field("took"), attempt.field("why"), end.field("attempts"), attempt.field("kept"))
	default:
		return fmt.Sprintf("Ended by %s after %s: %s.", end.instance, end.field("took"), why)
	}
}

// overShareOf tells by which figures a request was beyond its customer's share.
func overShareOf(end *logLine) string {
	return fmt.Sprintf("Refused by %s: customer %s is over its share of %s, of which it asked for %s seconds of replicas a second and may have %s while others wait.",
		end.field("owner"), end.field("customer"), end.field("short"), end.field("asked"), end.field("share"))
}

// noTurnOf tells by which figures a request's engines had no turn for it in time.
func noTurnOf(refused *logLine) string {
	return fmt.Sprintf("Refused by %s, the owner of its engines: all that may run it state limits, %s requests a second together; its turn would have come after %s, it could wait %s.",
		refused.instance, refused.field("per_second"), refused.field("wait"), refused.field("may_wait"))
}

// refusedBy tells what an owner expected of a refused request, and what bound it.
func refusedBy(refused, end *logLine) string {
	r := refusalOf(refused)
	waiting := fmt.Sprintf("%v by themselves and %v of waiting", r.own, r.expected-r.own)
	if r.bound != "" {
		waiting += ", longest for " + r.bound
	}
	spent, engine := r.before(end)
	return fmt.Sprintf("Refused by %s, the owner of its pools (%s): its stages would have ended after %v against %s left: %s. "+
		"%v of its objective were taken before, %v of it for its engine. Its pools: %s.",
		refused.instance, r.cause(end), r.expected, limit(refused), waiting, spent+engine, engine, refused.field("pools"))
}

// limit names the time that a refused job had.
func limit(refused *logLine) string {
	if refused.field("again") == "true" {
		return refused.field("objective") + " of its objective, " + refused.field("deadline") + " of its deadline (it came back)"
	}
	return refused.field("objective") + " of its objective"
}

// served says whether an answer came in time, and what took long.
func served(end *logLine) string {
	objective, first := end.duration("objective"), end.began()
	where := "its engine or service"
	if end.duration("engine_expected") > 0 {
		where = fmt.Sprintf("its engine (expected to take %s to the first event, reading %s tokens and fetching %s; took %v)",
			end.field("engine_expected"), end.field("reads"), end.field("moves"), first-end.duration("staged"))
	}
	if end.mostlyStages() {
		where = fmt.Sprintf("its stages, at %s (its stages were expected to take %s and took %s)", end.field("owner"), end.field("expected"), end.field("staged"))
	}
	if end.late() {
		return fmt.Sprintf("Served late: it began after %s against an objective of %s; most of that went to %s.", first, objective, where)
	}
	return fmt.Sprintf("Served in time: it began after %s against an objective of %s; its longest pause was %s.", first, objective, end.field("gap"))
}
