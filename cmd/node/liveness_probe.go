package node

import (
	"context"
	"errors"
	"strconv"
	"syscall"
	"time"

	"quinceroad/cmd/node/liveness"
	"quinceroad/coordination/answerend"
	"quinceroad/coordination/quarantine"
	"quinceroad/protocol/event"
	"quinceroad/state/catalog"
	"quinceroad/transport/upstream"
)

const (
	livenessProbeTimeout = replicaConnectTimeout // timeout for a replica's port to answer a probe
	// Connections per probe. If none stays open, the replica runs but serves no more
	// connections.
	maxProbeConnections = 3
)

// recordBrokenAnswers records that the answers to requests sent to a replica at sentAt
// have broken off, and probes the replica.
func (n *Node) recordBrokenAnswers(r *catalog.Replica, sentAt time.Duration, requests ...quarantine.Fingerprint) *liveness.Probe {
	incarnation := n.quarantine.incarnationAt(r.ID, sentAt)
	n.updateQuarantine(causeReplicaEnd, func(t *quarantine.Tracker, now time.Duration) (changes []quarantine.Change) {
		for _, f := range requests {
			changes = append(changes, t.RecordBroken(now, f, quarantine.IncarnationOf(incarnation))...)
		}
		return changes
	})
	return n.prober.Recent(r, incarnation)
}

// awaitLife waits for a probe as long as a request may, and returns what is known of the
// incarnation then. Without the replica's own word, an end that others have told of counts; it may
// be that of an earlier incarnation, as each instance numbers the restarts that it has seen.
func (n *Node) awaitLife(ctx context.Context, p *liveness.Probe) answerend.Life {
	hasEnded := n.awaitLivenessProbe(ctx, p)
	life := p.Life()
	if life == answerend.Unknown && hasEnded {
		return answerend.Ended
	}
	return life
}

// awaitLivenessProbe waits for a probe as long as a request may, and reports whether the
// replica has ended. Before that is known, a retry would be a guess.
func (n *Node) awaitLivenessProbe(ctx context.Context, p *liveness.Probe) (ended bool) {
	p.Await(ctx)
	return n.quarantine.hasEnded(p.Incarnation)
}

// recordAbandonedRequest records that this instance or the client ended a request before
// its answer was complete. If the replica ends within seconds, the request may be the
// cause: a client that sends such a request and disconnects at once must not go
// undetected.
func (n *Node) recordAbandonedRequest(replica string, sentAt time.Duration, r quarantine.Request, trials []quarantine.Fingerprint) {
	incarnation := quarantine.IncarnationOf(n.quarantine.incarnationAt(replica, sentAt))
	n.updateQuarantine(causeReplicaEnd, func(t *quarantine.Tracker, now time.Duration) []quarantine.Change {
		return append(t.RecordBroken(now, r.Whole, incarnation), t.RecordBrokenParts(now, r.Parts, trials, incarnation)...)
	})
}

// recordBrokenParts records that the answer to a request sent to a replica at sentAt has broken
// off, for the parts of its prompt. trials are the features whose trial leases it held.
func (n *Node) recordBrokenParts(replica string, sentAt time.Duration, parts, trials []quarantine.Fingerprint) {
	incarnation := quarantine.IncarnationOf(n.quarantine.incarnationAt(replica, sentAt))
	n.updateQuarantine(causeReplicaEnd, func(t *quarantine.Tracker, now time.Duration) []quarantine.Change {
		return t.RecordBrokenParts(now, parts, trials, incarnation)
	})
}

// incarnationEnds counts the ends of a replica's incarnations that this instance has
// observed since the listed one started.
type incarnationEnds struct {
	count int
	last  time.Duration
}

// incarnationAt returns the incarnation that a replica had at a time: the listed one, or
// a later one that is not listed yet.
func (q *quarantineTracker) incarnationAt(listed string, at time.Duration) string {
	q.mu.Lock()
	defer q.mu.Unlock()
	e := q.ends[listed]
	if e == nil {
		return listed
	}
	if at > e.last {
		return laterIncarnation(listed, e.count)
	}
	return laterIncarnation(listed, e.count-1)
}

func laterIncarnation(listed string, restarts int) string {
	if restarts == 0 {
		return listed
	}
	return listed + "+" + strconv.Itoa(restarts)
}

func (q *quarantineTracker) hasEnded(incarnation string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.tracker.HasEnded(quarantine.IncarnationOf(incarnation))
}

// recordIncarnationEnd counts the end of an incarnation unless it is already counted.
func (q *quarantineTracker) recordIncarnationEnd(now time.Duration, listed, incarnation string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	e := q.ends[listed]
	if e == nil {
		e = &incarnationEnds{}
		q.ends[listed] = e
	}
	if laterIncarnation(listed, e.count) == incarnation {
		e.count++
		e.last = now
	}
}

// askLife determines whether an incarnation has ended. The port of an ended replica refuses
// connections, or the next one at its address says that it is another; a replica behind a broken
// link does not respond, and one that has only closed connections answers on a new one.
func (n *Node) askLife(r *catalog.Replica, incarnation string) answerend.Life {
	n.counters.replicaProbes.Inc(1)
	err := n.probeConnection(r)
	for attempts := 1; errors.Is(err, liveness.ErrConnectionEnded) && attempts < maxProbeConnections; attempts++ {
		err = n.probeConnection(r)
	}
	switch {
	case err == nil, errors.Is(err, liveness.ErrConnectionEnded), errors.Is(err, liveness.ErrSilent), errors.Is(err, liveness.ErrNoAnswer):
		n.updateQuarantine(causeReplicaEnd, func(t *quarantine.Tracker, _ time.Duration) []quarantine.Change {
			t.RecordConnection(quarantine.IncarnationOf(incarnation))
			return nil
		})
		if err == nil {
			return answerend.Runs
		}
	case errors.Is(err, syscall.ECONNREFUSED), errors.Is(err, errPeersRefused):
		n.recordIncarnationEnd(r, incarnation, "its port refuses")
		return answerend.Ended
	case errors.Is(err, liveness.ErrAnotherReplica):
		n.recordIncarnationEnd(r, incarnation, err.Error())
		return answerend.Ended
	}
	return answerend.Unknown
}

// recordIncarnationEnd records that an incarnation has ended, by a sign.
func (n *Node) recordIncarnationEnd(r *catalog.Replica, incarnation, sign string) {
	event.NodeReplicaEnded.Log(n.log, "replica", incarnation, "service", r.Service, "sign", sign)
	n.quarantine.recordIncarnationEnd(n.now(), r.ID, incarnation)
	n.updateQuarantine(causeReplicaEnd, func(t *quarantine.Tracker, now time.Duration) []quarantine.Change {
		return t.RecordEnd(now, quarantine.IncarnationOf(incarnation))
	})
}

// probeConnection opens a connection to a replica and asks there whether it is still that
// replica. A new connection carries no earlier exchange that its answer could belong to.
func (n *Node) probeConnection(r *catalog.Replica) error {
	conn, err := n.dialForProbe(targetOf(r))
	if err != nil {
		return err
	}
	defer conn.Close()
	var service *catalog.Service
	if config := n.snapshot.Load().config; config != nil {
		service = config.Services[r.Service]
	}
	path := liveness.IdentityPath(service)
	err = liveness.AskIdentity(conn, r, path)
	n.recordBrokenHead(exchangeInfo{replica: r.ID, service: r.Service, asked: path, through: conn.RelayedBy()}, err)
	return err
}

// dialForProbe opens a connection to a replica to find out whether it runs. Over a cut link the
// peers that reach the replica say that sooner than its silence.
func (n *Node) dialForProbe(t replicaTarget) (*upstream.Conn, error) {
	if n.replicaLinks.isCut(t.id) {
		r := n.dialThroughPeers(context.Background(), t, livenessProbeTimeout)
		if r.err == nil || errors.Is(r.err, errPeersRefused) {
			return r.conn, r.err
		}
	}
	return n.dialReplica(context.Background(), t, livenessProbeTimeout)
}

// recordReplicaRestart records that a replica runs a new incarnation.
func (n *Node) recordReplicaRestart(listed string) {
	incarnation := n.quarantine.incarnationAt(listed, n.now())
	n.updateQuarantine(causeReplicaEnd, func(t *quarantine.Tracker, now time.Duration) []quarantine.Change {
		return t.RecordEnd(now, quarantine.IncarnationOf(incarnation))
	})
}

// recordReplicaRemoval records that a replica is no longer listed although no drain was
// announced.
func (n *Node) recordReplicaRemoval(listed string) {
	incarnation := n.quarantine.incarnationAt(listed, n.now())
	n.updateQuarantine(causeReplicaEnd, func(t *quarantine.Tracker, now time.Duration) []quarantine.Change {
		return t.RecordRemoval(now, quarantine.IncarnationOf(incarnation))
	})
}
