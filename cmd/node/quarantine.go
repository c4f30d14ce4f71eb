package node

import (
	"errors"
	"sync"
	"time"

	"quinceroad/cmd/node/triallease"
	"quinceroad/coordination/quarantine"
	"quinceroad/protocol/event"
	"quinceroad/protocol/pb"
	"quinceroad/state/catalog"
)

// newTrialService returns the service that leases trials of suspect requests.
func (n *Node) newTrialService() *triallease.Service {
	return triallease.New(triallease.Options{
		Name: n.settings.Name, Peers: n.links, Live: n.liveInstances, Log: n.log, Case: n.quarantineCase,
		Merge: func(c *pb.QuarantineCase) { n.mergeQuarantine([]*pb.QuarantineCase{c}) },
	})
}

const (
	// Minimum interval between extra announcements. A replica's end causes several changes
	// within a few ms.
	quarantineAnnounceInterval = 20 * time.Millisecond

	quarantineOffsets = 1000 // number of offsets among which instances start their repeated announcements
)

var errQuarantined = errors.New(event.ReasonQuarantined)

// errBecameSuspect means that an owner gave up the stages of a request, as replicas have ended
// under a part that it shares with others.
var errBecameSuspect = errors.New("the request became suspect while its stages ran")

// errPartQuarantined is the errQuarantined of requests that share a quarantined part with others.
var errPartQuarantined error = partQuarantinedError{}

type partQuarantinedError struct{}

func (partQuarantinedError) Error() string { return event.ReasonPartQuarantined }

// Is implements the interface of errors.Is.
func (partQuarantinedError) Is(target error) bool { return target == errQuarantined }

// quarantineTracker tracks the requests that crash replicas, as observed by this instance
// and reported by peers.
type quarantineTracker struct {
	mu          sync.Mutex
	tracker     *quarantine.Tracker
	announcedAt time.Duration                                  // time of the last extra announcement
	ends        map[string]*incarnationEnds                    // by listed incarnation
	suspects    map[string]map[quarantine.Fingerprint]struct{} // by replica ID: suspect requests that this instance runs there
}

func newQuarantineTracker(jitter float64) *quarantineTracker {
	return &quarantineTracker{
		tracker:  quarantine.New(quarantine.DefaultOptions(), int(jitter*quarantineOffsets)),
		ends:     make(map[string]*incarnationEnds),
		suspects: make(map[string]map[quarantine.Fingerprint]struct{}),
	}
}

// verdict returns the verdict on a request.
func (n *Node) verdict(f quarantine.Fingerprint) quarantine.Verdict {
	q := n.quarantine
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.tracker.Check(n.now(), f)
}

// judge returns the verdict on a request by its features.
func (n *Node) judge(r quarantine.Request) quarantine.Judgement {
	q := n.quarantine
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.tracker.Judge(n.now(), r)
}

// updateQuarantine applies an event to the tracker, logs the changes and announces them.
func (n *Node) updateQuarantine(cause string, apply func(t *quarantine.Tracker, now time.Duration) []quarantine.Change) {
	q := n.quarantine
	q.mu.Lock()
	changes := apply(q.tracker, n.now())
	q.mu.Unlock()
	for _, c := range changes {
		n.logQuarantineChange(c, cause)
		if c.Before != quarantine.Quarantined && c.After == quarantine.Quarantined {
			n.cancelUnbegun(c.Fingerprint)
		}
	}
	if len(changes) > 0 && cause != causePeer {
		n.announceQuarantine()
	}
}

// announceQuarantine announces changes to peers at once, as the next replica may crash
// before the next heartbeat. Within quarantineAnnounceInterval only the first change
// is sent at once; the others go with the next heartbeat.
func (n *Node) announceQuarantine() {
	q := n.quarantine
	now := n.now()
	q.mu.Lock()
	due := now-q.announcedAt >= quarantineAnnounceInterval
	if due {
		q.announcedAt = now
	}
	q.mu.Unlock()
	if due {
		n.sendHeartbeats()
	}
}

// Causes of quarantine changes, for logs.
const (
	causeReplicaEnd = "a replica's end"
	causeAnswer     = "a whole answer"
	causeOperator   = "an operator"
	causePeer       = "a peer"
	causeAge        = "age"
)

func (n *Node) logQuarantineChange(c quarantine.Change, cause string) {
	if c.Before == c.After && c.After != quarantine.Suspect {
		return
	}
	switch c.After {
	case quarantine.Unsuspected:
		event.NodeRequestReleased.Log(n.log, "fingerprint", c.Fingerprint, "kind", c.Kind, "was", c.Before, "why", cause)
	case quarantine.Suspect:
		event.NodeRequestSuspected.Log(n.log, "fingerprint", c.Fingerprint, "kind", c.Kind, "ended", c.Ended, "tried", c.Tried, "why", cause)
	case quarantine.Quarantined:
		event.NodeRequestQuarantined.Log(n.log, "fingerprint", c.Fingerprint, "kind", c.Kind, "ended", c.Ended, "tried", c.Tried, "why", cause)
	}
}

// recordCompleteAnswer records that a request got a complete answer, and which of its shared
// parts that shows to be sound.
func (n *Node) recordCompleteAnswer(f quarantine.Fingerprint, soundParts []quarantine.Fingerprint) {
	n.updateQuarantine(causeAnswer, func(t *quarantine.Tracker, now time.Duration) []quarantine.Change {
		return append(t.RecordSuccess(now, f), t.RecordSoundParts(now, soundParts)...)
	})
}

// recordSoundParts records that replicas ran requests with some shared parts to their end.
func (n *Node) recordSoundParts(parts []quarantine.Fingerprint) {
	n.updateQuarantine(causeAnswer, func(t *quarantine.Tracker, now time.Duration) []quarantine.Change {
		return t.RecordSoundParts(now, parts)
	})
}

// cancelUnbegun cancels this instance's requests with a feature that has become quarantined, if
// their answers have not begun: each may crash one more replica.
func (n *Node) cancelUnbegun(f quarantine.Fingerprint) {
	n.requestsByFeature.Cancel(f.String())
}

// quarantineUpdate returns the suspect and quarantined requests for a heartbeat.
func (n *Node) quarantineUpdate() []*pb.QuarantineCase {
	q := n.quarantine
	q.mu.Lock()
	defer q.mu.Unlock()
	return encodeCases(q.tracker.Updates(n.now()))
}

// quarantineSnapshot returns all cases, for an instance that has just started.
func (n *Node) quarantineSnapshot() []*pb.QuarantineCase {
	q := n.quarantine
	q.mu.Lock()
	defer q.mu.Unlock()
	return encodeCases(q.tracker.Snapshot(n.now()))
}

func encodeCases(entries []quarantine.Entry) []*pb.QuarantineCase {
	var out []*pb.QuarantineCase
	for _, e := range entries {
		out = append(out, encodeCase(e))
	}
	return out
}

func (n *Node) mergeQuarantine(cases []*pb.QuarantineCase) {
	for _, c := range cases {
		n.updateQuarantine(causePeer, func(t *quarantine.Tracker, now time.Duration) []quarantine.Change { return t.Merge(now, decodeCase(c)) })
	}
}

func encodeCase(e quarantine.Entry) *pb.QuarantineCase {
	c := &pb.QuarantineCase{Fingerprint: uint64(e.Fingerprint), AgeS: uint32(e.Age.Seconds()), Part: e.Kind == quarantine.SharedPart}
	for _, inc := range e.Tried {
		c.Tried = append(c.Tried, uint32(inc))
	}
	for _, inc := range e.Ended {
		c.Ended = append(c.Ended, uint32(inc))
	}
	for _, inc := range e.Cleared {
		c.Cleared = append(c.Cleared, uint32(inc))
	}
	return c
}

func decodeCase(c *pb.QuarantineCase) quarantine.Entry {
	e := quarantine.Entry{Fingerprint: quarantine.Fingerprint(c.GetFingerprint()), Age: time.Duration(c.GetAgeS()) * time.Second}
	if c.GetPart() {
		e.Kind = quarantine.SharedPart
	}
	for _, inc := range c.GetTried() {
		e.Tried = append(e.Tried, quarantine.Incarnation(inc))
	}
	for _, inc := range c.GetEnded() {
		e.Ended = append(e.Ended, quarantine.Incarnation(inc))
	}
	for _, inc := range c.GetCleared() {
		e.Cleared = append(e.Cleared, quarantine.Incarnation(inc))
	}
	return e
}

// quarantineCase returns the message with this instance's record of a request, which has
// only the fingerprint if there is no record.
func (n *Node) quarantineCase(f quarantine.Fingerprint) *pb.QuarantineCase {
	q := n.quarantine
	q.mu.Lock()
	defer q.mu.Unlock()
	e, ok := q.tracker.Lookup(n.now(), f)
	if !ok {
		e.Fingerprint = f
	}
	return encodeCase(e)
}

// pruneQuarantine removes expired cases, probes and crash counts, and counts what is quarantined.
func (n *Node) pruneQuarantine() {
	n.updateQuarantine(causeAge, func(t *quarantine.Tracker, now time.Duration) []quarantine.Change { return t.Expire(now) })
	n.prober.Prune()
	q := n.quarantine
	q.mu.Lock()
	defer q.mu.Unlock()
	n.counters.setQuarantined(q.tracker.CountQuarantined())
	for id, e := range q.ends {
		if n.now()-e.last > pruneAfter {
			delete(q.ends, id)
		}
	}
}

// trackSuspect records that this instance runs a suspect request at a replica. The
// caller must call finish when the request has ended.
func (n *Node) trackSuspect(f quarantine.Fingerprint, replica string) (finish func()) {
	q := n.quarantine
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.suspects[replica] == nil {
		q.suspects[replica] = make(map[quarantine.Fingerprint]struct{})
	}
	q.suspects[replica][f] = struct{}{}
	return func() {
		q.mu.Lock()
		defer q.mu.Unlock()
		delete(q.suspects[replica], f)
		if len(q.suspects[replica]) == 0 {
			delete(q.suspects, replica)
		}
	}
}

// withoutSuspects returns the replicas at which this instance runs no suspect request,
// or all if there are none: requests concurrent with one that crashes its replica are
// lost with it.
func (n *Node) withoutSuspects(replicas []catalog.Replica) []catalog.Replica {
	q := n.quarantine
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.suspects) == 0 {
		return replicas
	}
	var out []catalog.Replica
	for _, r := range replicas {
		if len(q.suspects[r.ID]) == 0 {
			out = append(out, r)
		}
	}
	if len(out) == 0 {
		return replicas
	}
	return out
}

// isPartBlamed reports whether a part that requests share is blamed for the end of an incarnation.
func (q *quarantineTracker) isPartBlamed(incarnation string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.tracker.IsPartBlamed(quarantine.IncarnationOf(incarnation))
}
