package node

import (
	"context"
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	"quinceroad/coordination/advisory"
	"quinceroad/coordination/gossip"
	"quinceroad/coordination/ownership"
	"quinceroad/coordination/pace"
	"quinceroad/protocol/event"
	"quinceroad/protocol/frame"
	"quinceroad/protocol/pb"
	"quinceroad/state/catalog"
)

// The grantor of a replica that states a rate limit is, for pools and engines, the owner
// of their cell, which selects the replica anyway; for other services it is an instance
// in the replica's hall, selected by rendezvous hashing.

const (
	grantTimeout = 150 * time.Millisecond // grantors answer at once
	// Pause of requests to a replica whose grantor is not known or does not answer: one and
	// a half heartbeat intervals.
	grantorLostDelay = 300 * time.Millisecond

	// Minimum time between calls that free results, in grant intervals: each call uses up
	// a grant that a request could have had.
	freeIntervals = 4

	minFreeInterval = time.Second // lower bound of that time
)

var (
	errRateLimited = errors.New("the replica takes no more for now, as it says")
	errNotGrantor  = errors.New("another instance gives the replica's turns")
)

// withRateLimits runs f on the tracker of rate limits.
func (a *advisories) withRateLimits(f func(*pace.Tracker)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	f(a.rateLimits)
	a.hasLimits.Store(a.rateLimits.HasLimits())
}

// isLimited reports whether an incarnation states a rate limit.
func (a *advisories) isLimited(incarnation string) bool {
	if !a.hasLimits.Load() {
		return false
	}
	limited := false
	a.withRateLimits(func(t *pace.Tracker) { limited = t.Limit(incarnation).Stated })
	return limited
}

// grantorLookup finds the grantors of replicas for one view of the instances.
type grantorLookup struct {
	node     *Node
	snapshot *snapshot
	live     *gossip.Live
}

func (n *Node) grantorLookup() *grantorLookup {
	return &grantorLookup{node: n, snapshot: n.dividedSnapshot(), live: n.live()}
}

// grantorOf returns the grantor of a replica, or false if there is none.
func (l *grantorLookup) grantorOf(r *catalog.Replica) (gossip.Instance, bool) {
	grantors := l.grantorsOf(r)
	if len(grantors) == 0 {
		return gossip.Instance{}, false
	}
	return grantors[0], true
}

// grantorsOf returns the grantor of a replica and its deputies.
func (l *grantorLookup) grantorsOf(r *catalog.Replica) []gossip.Instance {
	if cell, pooled := l.snapshot.cellOfReplica(r.ID); pooled {
		candidates := ownership.Candidates(l.live, cell, r.Region)
		return candidates[:min(len(candidates), advisory.Grantors)]
	}
	return l.live.Derive(grantorsKey(r.ID), func() any {
		return pace.SelectGrantors(l.live.Instances, r.ID, pace.Location{Hall: r.Hall, Region: r.Region}, advisory.Grantors)
	}).([]gossip.Instance)
}

// grantorsKey is the key under which the grantors of an incarnation are kept for as long as
// the live instances stay the same.
type grantorsKey string

// isSelf reports whether this instance is the grantor of a replica, either according to
// its own view or because other instances treat it as the owner of the cell.
func (l *grantorLookup) isSelf(r *catalog.Replica) bool {
	if cell, ok := l.snapshot.cellOfReplica(r.ID); ok && l.node.owner.ownedCell(cell) != nil {
		return true
	}
	grantor, ok := l.grantorOf(r)
	return ok && grantor.Name == l.node.settings.Name
}

// acquireSendGrant reports whether the request may be sent to a replica under its rate
// limit. It uses the grant that the owner consumed when it chose the engine, or requests
// one from the grantor.
func (s *requestHandler) acquireSendGrant(ctx context.Context, r *catalog.Replica) bool {
	n := s.node
	if !n.advisories.hasLimits.Load() {
		return true
	}
	if s.job != nil && s.job.hasSendGrant && s.job.engine == r.ID {
		s.job.hasSendGrant = false // valid for one send
		n.counters.sendGrants.Inc(1)
		return true
	}
	return n.acquireGrant(ctx, r)
}

// acquireGrant obtains a send grant if the replica states a rate limit.
func (n *Node) acquireGrant(ctx context.Context, r *catalog.Replica) bool {
	if !n.advisories.isLimited(r.ID) {
		return true
	}
	wait, err := n.requestGrant(ctx, r)
	now := n.now()
	switch {
	case err == nil && wait == 0:
		n.counters.sendGrants.Inc(1)
		return true
	case err == nil:
		n.advisories.withRateLimits(func(t *pace.Tracker) { t.RecordDenial(r.ID, now+max(wait, backoffPollInterval)) })
	case errors.Is(err, errNotGrantor):
		n.advisories.withRateLimits(func(t *pace.Tracker) { t.RecordDenial(r.ID, now+grantorLostDelay) })
	default:
		n.logSideCallFailure("send grant", r.ID, err)
		return n.tryLocalGrant(r.ID)
	}
	n.counters.sendGrantDenials.Inc(1)
	return false
}

// reserveRetry returns the retry delay for a caller that got no send grant from any
// replica of a service.
func (n *Node) reserveRetry(service string, backoff *backoffError) time.Duration {
	perSecond := 0.0
	replicas, instances := n.snapshot.Load().eligible(service), n.liveInstanceCount()
	a := n.advisories
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, r := range replicas {
		perSecond += a.rateLimits.Limit(r.ID).PerSecond
	}
	return max(a.retrySchedule.Reserve(service, backoff.until, perSecond, instances, newRandom().Float64())-backoff.now, shortRetryAfter)
}

// tryLocalGrant takes a grant from this instance's own fraction of a rate limit.
func (n *Node) tryLocalGrant(incarnation string) bool {
	instances, now, ok := n.liveInstanceCount(), n.now(), false
	n.advisories.withRateLimits(func(t *pace.Tracker) {
		if ok = t.TryLocalGrant(now, incarnation, instances); !ok {
			t.RecordDenial(incarnation, now+grantorLostDelay)
		}
	})
	if ok {
		n.counters.localSendGrants.Inc(1)
	}
	return ok
}

// requestGrant requests a send grant from a replica's grantor. It returns the time until
// the next one is due; 0: granted.
func (n *Node) requestGrant(ctx context.Context, r *catalog.Replica) (time.Duration, error) {
	grantor, ok := n.grantorLookup().grantorOf(r)
	if !ok {
		return 0, errNotGrantor
	}
	if grantor.Name == n.settings.Name {
		wait, _ := n.issueGrant(r)
		return wait, nil
	}
	reply, err := n.requestRemoteGrant(ctx, grantor.PeerAddress, r.ID)
	switch {
	case err != nil:
		return 0, err
	case reply.Elsewhere:
		return 0, errNotGrantor
	case reply.Turn:
		return 0, nil
	}
	return max(time.Duration(reply.FreeUs)*time.Microsecond, time.Microsecond), nil
}

// requestRemoteGrant requests a send grant from another instance. The timeout includes
// opening the link; a grant that arrives later is lost.
func (n *Node) requestRemoteGrant(ctx context.Context, link, incarnation string) (*pb.PaceReply, error) {
	ctx, cancel := context.WithTimeout(ctx, grantTimeout)
	defer cancel()
	type answer struct {
		reply *pb.PaceReply
		err   error
	}
	answers := make(chan answer, 1)
	go func() {
		stream, err := n.links.Open(link, frame.SendGrant, &pb.PaceAsk{Limit: n.limitOf(incarnation)})
		if err != nil {
			answers <- answer{err: err}
			return
		}
		defer stream.Close()
		defer context.AfterFunc(ctx, func() { _ = stream.Close() })()
		reply := &pb.PaceReply{}
		err = frame.Read(stream, reply)
		answers <- answer{reply: reply, err: err}
	}()
	select {
	case a := <-answers:
		return a.reply, a.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// issueGrant issues a send grant, or returns the time until the next one is due.
func (n *Node) issueGrant(r *catalog.Replica) (wait time.Duration, ok bool) {
	now := n.now()
	n.advisories.withRateLimits(func(t *pace.Tracker) {
		t.SetGrantor(now, r.ID, true)
		if ok = t.TryGrant(now, r.ID); !ok {
			wait = max(t.NextGrant(now, r.ID)-now, time.Microsecond)
		}
	})
	return wait, ok
}

// answerGrantRequest handles a peer's request for a send grant.
func (n *Node) answerGrantRequest(first []byte, from string) *pb.PaceReply {
	ask := &pb.PaceAsk{}
	if err := proto.Unmarshal(first, ask); err != nil {
		event.NodeMessageInvalid.Log(n.log, "what", "send grant request", "from", from, "error", err)
		return &pb.PaceReply{Elsewhere: true}
	}
	n.recordPeerLimits(from, []*pb.ReplicaLimit{ask.Limit})
	r, ok := n.snapshot.Load().replicaByIncarnation(ask.GetLimit().GetId())
	if !ok || !n.grantorLookup().isSelf(&r) {
		return &pb.PaceReply{Elsewhere: true}
	}
	wait, ok := n.issueGrant(&r)
	return &pb.PaceReply{Turn: ok, FreeUs: wait.Microseconds()}
}

// countInternalCall counts a call that is not a client's request against the rate limit.
// The call is sent in any case; requests are delayed instead.
func (n *Node) countInternalCall(incarnation string) {
	if n.advisories.isLimited(incarnation) {
		n.advisories.withRateLimits(func(t *pace.Tracker) { t.Consume(n.now(), incarnation) })
	}
}

// freeInterval returns the minimum time between calls that free results at a replica
// with the given grant interval; 0: no limit.
func freeInterval(grantInterval time.Duration) time.Duration {
	if grantInterval == 0 {
		return 0
	}
	return max(freeIntervals*grantInterval, minFreeInterval)
}

// cellGrants provides the send grants of a cell's replicas to the cell's owner, which is
// their grantor.
type cellGrants struct{ node *Node }

// HasLimits reports whether any replica states a rate limit.
func (g cellGrants) HasLimits() bool { return g.node.advisories.hasLimits.Load() }

// NextGrant returns when a replica may receive the next request.
func (g cellGrants) NextGrant(now time.Duration, incarnation string) (next time.Duration) {
	g.node.advisories.withRateLimits(func(t *pace.Tracker) {
		t.SetGrantor(now, incarnation, true)
		next = t.NextGrant(now, incarnation)
	})
	return next
}

// Interval returns the time between two send grants of a replica; 0: no limit.
func (g cellGrants) Interval(incarnation string) (interval time.Duration) {
	g.node.advisories.withRateLimits(func(t *pace.Tracker) { interval = t.Interval(incarnation) })
	return interval
}

// Consume counts a request that is sent to a replica.
func (g cellGrants) Consume(now time.Duration, incarnation string) {
	g.node.advisories.withRateLimits(func(t *pace.Tracker) { t.Consume(now, incarnation) })
}
