package ctl

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"quinceroad/protocol/event"
)

// requestTrace collects the log lines of all instances that concern one request.
type requestTrace struct {
	id           string
	fingerprint  string          // of the request; "" until a line with it is read
	parts        []string        // fingerprints of what it shares with other requests
	requestLines []*logLine      // lines with the request's id
	contextLines []*logLine      // concurrent events of the replicas and instances involved
	replicas     map[string]bool // replicas that it was sent to
	instances    map[string]bool // instances that received it or own its pools
	versions     map[string]bool // versions of the configuration that served it
	from, to     time.Time       // time span of contextLines
}

// contextBefore is how long before the request's arrival the time span of its context
// begins. It includes the difference between the clocks of instances.
const contextBefore = 10 * time.Second

func newRequestTrace(id string) *requestTrace {
	return &requestTrace{id: id, replicas: make(map[string]bool), instances: make(map[string]bool), versions: make(map[string]bool)}
}

// addRequestLine adds a line with the request's id.
func (t *requestTrace) addRequestLine(l *logLine) {
	if !l.isAbout(t.id) {
		return
	}
	t.requestLines = append(t.requestLines, l)
	if f := l.field("fingerprint"); f != "" {
		t.fingerprint = f
	}
	if parts := strings.Fields(strings.Trim(l.field("parts"), "[]")); len(parts) > 0 {
		t.parts = parts
	}
	t.instances[l.instance] = true
	if owner := l.field("owner"); owner != "" {
		t.instances[owner] = true
	}
	if replica := l.field("replica"); replica != "" {
		t.replicas[replica] = true
	}
	if version := l.field("version"); version != "" {
		t.versions[version] = true
	}
	at := l.time()
	start := at.Add(-l.duration("took")).Add(-contextBefore)
	if t.from.IsZero() || start.Before(t.from) {
		t.from = start
	}
	if at.After(t.to) {
		t.to = at
	}
}

// Context events: those about a replica, about an instance named in a field, and about
// the instance that logs them.
var (
	replicaEvents = []*event.Event{event.NodeReplicaDraining, event.NodeReplicaWarming, event.NodeReplicaEjected, event.NodeReplicaReinstated, event.NodeBatchFailed, event.NodeReplicaEnded,
		event.NodeReplicaDrainAdvisory, event.NodeReplicaBackoff, event.NodeReplicaBackoffEnded, event.NodeReplicaRateLimited, event.NodeReplicaRateLimitLifted}
	instanceEvents = []*event.Event{event.NodeInstanceDead, event.NodeOwnerUnreachable}
	localEvents    = []*event.Event{
		event.NodeStarted, event.NodeStopping, event.NodeHallDrained, event.NodeHallReturned, event.NodeStoreUnreachable, event.NodeStoreReachable,
		event.NodeStoreUnresponsive, event.NodeStoreResponsive, event.NodeStoreCallAbandoned, event.NodePoolsOwned,
		event.NodeServiceCut, event.NodeServiceReached, event.NodeServiceBrittle, event.NodeServiceSturdy,
	}
)

// addContextLine adds a line about a replica, instance, configuration or fingerprint of
// the request, if it is within the time span.
func (t *requestTrace) addContextLine(l *logLine) {
	at := l.time()
	if l.isAbout(t.id) || at.Before(t.from) || at.After(t.to) {
		return
	}
	is := func(e *event.Event) bool { return e.Number == l.event }
	switch {
	case l.field("why") == "hearsay" && !t.instances[l.instance]:
		return // the same evidence, repeated by an instance not involved in the request
	case t.fingerprint != "" && l.field("fingerprint") == t.fingerprint: // includes the client's other attempts
	case slices.Contains(t.parts, l.field("fingerprint")):
	case slices.ContainsFunc(replicaEvents, is) && t.replicas[l.field("replica")]:
	case slices.ContainsFunc(instanceEvents, is) && (t.instances[l.field("name")] || t.instances[l.field("owner")]):
	case slices.ContainsFunc(localEvents, is) && t.instances[l.instance]:
	case is(event.NodeConfigAdopted) && t.instances[l.instance] && t.versions[l.field("version")]:
	default:
		return
	}
	t.contextLines = append(t.contextLines, l)
}

// last returns the request's last line of an event, nil if there is none.
func (t *requestTrace) last(e *event.Event) *logLine {
	for _, l := range slices.Backward(t.requestLines) {
		if l.event == e.Number {
			return l
		}
	}
	return nil
}

// verdict describes how the request ended and why, and its spillover, if any.
func (t *requestTrace) verdict() string {
	return t.outcome() + t.spillover() + t.relay() + t.resumption()
}

// resumption describes which stream the request took up again, if it did, and at which build
// of its service that went on.
func (t *requestTrace) resumption() string {
	end := t.last(event.NodeRequest)
	if end == nil || end.field("last_event") == "" {
		return ""
	}
	began := "a request that its client does not name"
	if id := end.field("resumes"); id != "" {
		began = "request " + id
	}
	text := fmt.Sprintf(" Its client took up the stream that %s began, after event %s.", began, end.field("last_event"))
	if build := end.field("build"); build != "" {
		text += fmt.Sprintf(" It went on at build %s.", build)
	}
	return text
}

// relay describes through whom the request reached its replica, if its instance's own link
// to it was cut.
func (t *requestTrace) relay() string {
	end := t.last(event.NodeRequest)
	if end == nil || end.field("through") == "" {
		return ""
	}
	return fmt.Sprintf(" %s was cut off from replica %s, and %s relayed the connection.", end.instance, end.field("replica"), end.field("through"))
}

// spillover describes the request's spillover to another region, if any.
func (t *requestTrace) spillover() string {
	remote := t.last(event.NodeRegionAsked)
	if remote == nil {
		return ""
	}
	if remote.field("refused") == "true" {
		return fmt.Sprintf(" Its own region did not take it; region %s was asked and refused after %s.", remote.field("region"), remote.field("took"))
	}
	return fmt.Sprintf(" Its own region did not take it; region %s was asked.", remote.field("region"))
}

// outcome describes how the request ended and why.
func (t *requestTrace) outcome() string {
	end := t.last(event.NodeRequest)
	if end == nil {
		return "No instance logged the request's end: who had taken it was killed, or is still at work on it."
	}
	noGrant := t.last(event.NodeSendGrantRefused)
	refused, failed, attempt := t.last(event.NodeJobRefused), t.last(event.NodeJobFailed), t.last(event.NodeAttemptFailed)
	switch reason := end.field("why"); {
	case reason == reasonServed:
		return describeServed(end)
	case strings.HasPrefix(reason, reasonOverShare):
		return describeOverShare(end)
	case strings.HasPrefix(reason, "stages refused") && refused != nil:
		return describeRefusal(refused, end)
	case strings.HasPrefix(reason, "stages refused") && noGrant != nil:
		return describeNoGrant(noGrant)
	case strings.HasPrefix(reason, "stages failed") && failed != nil:
		return fmt.Sprintf("Admitted, then given up by %s after %s: %s.", failed.instance, failed.field("after"), failed.field("why"))
	case reason == event.ReasonQuarantined:
		return fmt.Sprintf("Not sent by %s: replicas have ended under this request before (fingerprint %s); see the lines beside it.", end.instance, t.fingerprint)
	case reason == event.ReasonPartQuarantined:
		return fmt.Sprintf("Not sent by %s: replicas have ended under requests with a part that it shares with others (parts %s); see the lines beside it.", end.instance, strings.Join(t.parts, " "))
	case attempt != nil:
		return fmt.Sprintf("Lost at replica %s after %s: %s; %s attempts in all, on a connection used before: %s.",
			attempt.field("replica"), attempt.field("took"), attempt.field("why"), end.field("attempts"), attempt.field("kept"))
	default:
		return fmt.Sprintf("Ended by %s after %s: %s.", end.instance, end.field("took"), reason)
	}
}

// describeOverShare describes a refusal because the customer was over its share, with the
// demand and the share that decided.
func describeOverShare(end *logLine) string {
	return fmt.Sprintf("Refused by %s: customer %s is over its share of %s, of which it asked for %s seconds of replicas a second and may have %s while others wait.",
		end.field("owner"), end.field("customer"), end.field("short"), end.field("asked"), end.field("share"))
}

// describeNoGrant describes a refusal because no send grant of the rate-limited engines
// would have come in time.
func describeNoGrant(refused *logLine) string {
	return fmt.Sprintf("Refused by %s, the owner of its engines: all that may run it state limits, %s requests a second together; its turn would have come after %s, it could wait %s.",
		refused.instance, refused.field("per_second"), refused.field("wait"), refused.field("may_wait"))
}

// describeRefusal describes a refusal by the owner of the pools, with the expected
// durations and the cause.
func describeRefusal(refused, end *logLine) string {
	r := parseRefusal(refused)
	waiting := fmt.Sprintf("%v by themselves and %v of waiting", r.serviceTime, r.expected-r.serviceTime)
	if r.bottleneck != "" {
		waiting += ", longest for " + r.bottleneck
	}
	spent, engine := r.spentBeforeStages(end)
	return fmt.Sprintf("Refused by %s, the owner of its pools (%s): its stages would have ended after %v against %s left: %s. "+
		"%v of its objective were taken before, %v of it for its engine. Its pools: %s.",
		refused.instance, r.cause(end), r.expected, describeTimeLeft(refused), waiting, spent+engine, engine, refused.field("pools"))
}

// describeTimeLeft describes the objective and deadline left to a refused job.
func describeTimeLeft(refused *logLine) string {
	if refused.field("again") == "true" {
		return refused.field("objective") + " of its objective, " + refused.field("deadline") + " of its deadline (it came back)"
	}
	return refused.field("objective") + " of its objective"
}

// describeServed describes whether a response was in time and, if not, which part took
// most of it.
func describeServed(end *logLine) string {
	objective, first := end.duration("objective"), end.responseTime()
	slowestPart := "its engine or service"
	if end.duration("engine_expected") > 0 {
		slowestPart = fmt.Sprintf("its engine (expected to take %s to the first event, reading %s tokens and fetching %s; took %v)",
			end.field("engine_expected"), end.field("reads"), end.field("moves"), first-end.duration("staged"))
	}
	if end.isStageBound() {
		slowestPart = fmt.Sprintf("its stages, at %s (its stages were expected to take %s and took %s)", end.field("owner"), end.field("expected"), end.field("staged"))
	}
	if end.missedObjective() {
		return fmt.Sprintf("Served late: it began after %s against an objective of %s; most of that went to %s.", first, objective, slowestPart)
	}
	return fmt.Sprintf("Served in time: it began after %s against an objective of %s; its longest pause was %s.", first, objective, end.field("gap"))
}
