package node

import (
	"context"
	"errors"
	"strconv"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"quinceroad/coordination/answerend"
	"quinceroad/coordination/outcome"
	"quinceroad/coordination/quarantine"
	"quinceroad/platform"
	"quinceroad/protocol/event"
	"quinceroad/state/catalog"
	"quinceroad/transport/upstream"
)

const (
	livenessProbeTimeout = replicaConnectTimeout // timeout for a replica's port to answer a probe
	// Maximum wait of a request for the probe before it may be retried elsewhere. A port
	// that refuses connections does so within a round trip.
	livenessProbeWait = 150 * time.Millisecond
	// Minimum time for which a connection must stay open to prove that its replica runs. A
	// replica that is ending closes its port shortly after its connections, and may still
	// accept one.
	minConnectionTime = 10 * time.Millisecond
	// Connections per probe. If none stays open, the replica runs but serves no more
	// connections.
	maxProbeConnections = 3
	// One probe covers all answers of an incarnation that break off within this time. A
	// replica that ends is not back sooner.
	livenessProbeTTL = 300 * time.Millisecond
	// Timeout for a replica's word on who it is. It leaves time to connect within
	// livenessProbeWait.
	identityTimeout = 120 * time.Millisecond
)

// livenessProbe checks whether a replica's incarnation has ended.
type livenessProbe struct {
	incarnation string
	done        chan struct{} // closed when the probe has ended
	startedAt   time.Duration
	life        answerend.Life // what it has found; set before done is closed
}

// hasEnded reports whether the probe has ended.
func (p *livenessProbe) hasEnded() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// result returns what the probe has found, unknown unless it has ended.
func (p *livenessProbe) result() answerend.Life {
	if !p.hasEnded() {
		return answerend.Unknown
	}
	return p.life
}

// recordBrokenAnswers records that the answers to requests sent to a replica at sentAt
// have broken off, and probes the replica.
func (n *Node) recordBrokenAnswers(r *catalog.Replica, sentAt time.Duration, requests ...quarantine.Fingerprint) *livenessProbe {
	incarnation := n.quarantine.incarnationAt(r.ID, sentAt)
	n.updateQuarantine(causeReplicaEnd, func(t *quarantine.Tracker, now time.Duration) (changes []quarantine.Change) {
		for _, f := range requests {
			changes = append(changes, t.RecordBroken(now, f, quarantine.IncarnationOf(incarnation))...)
		}
		return changes
	})
	return n.probeLiveness(r, incarnation)
}

// awaitLife waits up to livenessProbeWait for a probe, and returns what is known of the
// incarnation then. Without the replica's own word, an end that others have told of counts; it may
// be that of an earlier incarnation, as each instance numbers the restarts that it has seen.
func (n *Node) awaitLife(ctx context.Context, p *livenessProbe) answerend.Life {
	hasEnded := n.awaitLivenessProbe(ctx, p)
	life := p.result()
	if life == answerend.Unknown && hasEnded {
		return answerend.Ended
	}
	return life
}

// awaitLivenessProbe waits up to livenessProbeWait for a probe, and reports whether the
// replica has ended. Before that is known, a retry would be a guess.
func (n *Node) awaitLivenessProbe(ctx context.Context, p *livenessProbe) (ended bool) {
	timer := time.NewTimer(livenessProbeWait)
	defer timer.Stop()
	select {
	case <-p.done:
	case <-timer.C:
	case <-ctx.Done():
	}
	return n.quarantine.hasEnded(p.incarnation)
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

// probeLiveness starts a probe of an incarnation, or returns the recent one.
func (n *Node) probeLiveness(r *catalog.Replica, incarnation string) *livenessProbe {
	q := n.quarantine
	q.mu.Lock()
	defer q.mu.Unlock()
	if p := q.probes[incarnation]; p != nil && n.now()-p.startedAt < livenessProbeTTL {
		return p
	}
	return n.startLivenessProbe(r, incarnation)
}

// probeLivenessAfter starts a probe of an incarnation that begins after the call, or returns the
// one that is about to: one that has begun may have asked before what has ended since.
func (n *Node) probeLivenessAfter(r *catalog.Replica, incarnation string) *livenessProbe {
	q := n.quarantine
	q.mu.Lock()
	defer q.mu.Unlock()
	if p := q.waitingProbes[incarnation]; p != nil {
		return p
	}
	running := q.probes[incarnation]
	if running == nil || running.hasEnded() {
		return n.startLivenessProbe(r, incarnation)
	}
	p := &livenessProbe{incarnation: incarnation, done: make(chan struct{})}
	q.waitingProbes[incarnation] = p
	go func() {
		<-running.done
		q.mu.Lock()
		delete(q.waitingProbes, incarnation)
		p.startedAt = n.now()
		q.probes[incarnation] = p
		q.mu.Unlock()
		n.runLivenessProbe(*r, p)
	}()
	return p
}

// startLivenessProbe starts a probe. The caller holds mu of the quarantine.
func (n *Node) startLivenessProbe(r *catalog.Replica, incarnation string) *livenessProbe {
	p := &livenessProbe{incarnation: incarnation, done: make(chan struct{}), startedAt: n.now()}
	n.quarantine.probes[incarnation] = p
	go n.runLivenessProbe(*r, p)
	return p
}

// runLivenessProbe determines whether an incarnation has ended. The port of an ended replica
// refuses connections, or the next one at its address says that it is another; a replica behind
// a broken link does not respond, and one that has only closed connections answers on a new one.
func (n *Node) runLivenessProbe(r catalog.Replica, p *livenessProbe) {
	defer close(p.done)
	incarnation := p.incarnation
	n.counters.replicaProbes.Inc(1)
	err := n.probeConnection(&r)
	for attempts := 1; errors.Is(err, errConnectionEnded) && attempts < maxProbeConnections; attempts++ {
		err = n.probeConnection(&r)
	}
	switch {
	case err == nil, errors.Is(err, errConnectionEnded), errors.Is(err, errReplicaIsSilent):
		if err == nil {
			p.life = answerend.Runs
		}
		n.updateQuarantine(causeReplicaEnd, func(t *quarantine.Tracker, _ time.Duration) []quarantine.Change {
			t.RecordConnection(quarantine.IncarnationOf(incarnation))
			return nil
		})
	case errors.Is(err, syscall.ECONNREFUSED), errors.Is(err, errPeersRefused), errors.Is(err, errAnotherReplica):
		p.life = answerend.Ended
		sign := "its port refuses"
		if errors.Is(err, errAnotherReplica) {
			sign = err.Error()
		}
		event.NodeReplicaEnded.Log(n.log, "replica", incarnation, "service", r.Service, "sign", sign)
		n.quarantine.recordIncarnationEnd(n.now(), r.ID, incarnation)
		n.updateQuarantine(causeReplicaEnd, func(t *quarantine.Tracker, now time.Duration) []quarantine.Change {
			return t.RecordEnd(now, quarantine.IncarnationOf(incarnation))
		})
	}
}

// Errors of a probe's connection.
var (
	errConnectionEnded = errors.New("the connection was closed at once")
	errAnotherReplica  = errors.New("another replica listens at the address")
	errReplicaIsSilent = errors.New("the connection stays open, and nothing answers")
)

// probeConnection opens a connection to a replica and asks there whether it is still that
// replica. A new connection carries no earlier exchange that its answer could belong to.
func (n *Node) probeConnection(r *catalog.Replica) error {
	conn, err := n.dialForProbe(targetOf(r))
	if err != nil {
		return err
	}
	defer conn.Close()
	if path := n.identityPath(r.Service); path != "" {
		return askIdentity(conn, r, path)
	}
	if !conn.StaysOpen(minConnectionTime) {
		return errConnectionEnded
	}
	return nil
}

// identityPath returns the path of a call that the replicas of a service answer without work, ""
// if they have none.
func (n *Node) identityPath(service string) string {
	config := n.snapshot.Load().config
	if config == nil || config.Services[service] == nil {
		return ""
	}
	s := config.Services[service]
	if s.Engine != nil || s.Pool != nil {
		return platform.PathReport
	}
	return s.HealthPath
}

// askIdentity asks whoever listens at a replica's address whether it is that replica. Any answer
// but that of another one says so; silence says nothing.
func askIdentity(conn *upstream.Conn, r *catalog.Replica, path string) error {
	_ = conn.SetDeadline(time.Now().Add(identityTimeout))
	name := catalog.ReplicaName(r.ID)
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.DisableNormalizing()
	req.Header.SetMethod(fasthttp.MethodGet)
	req.SetRequestURI(path)
	req.Header.SetHost(r.Address)
	platform.SetExpectedReplica(name, req.Header.Set)
	token, _ := outcome.NewRecord().Dispatch()
	x, err := conn.Begin(token, req)
	if err == nil {
		err = x.ReadHead(func(*fasthttp.ResponseHeader) bool { return true })
	}
	switch {
	case errors.Is(err, fasthttp.ErrTimeout):
		return errReplicaIsSilent
	case err != nil:
		return errConnectionEnded
	case !platform.AnswersAs(x.Header.StatusCode(), name, func(h string) string { return string(x.Header.Peek(h)) }):
		return errAnotherReplica
	}
	return nil
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
