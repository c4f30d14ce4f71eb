package node

import (
	"time"

	"quinceroad/coordination/pace"
	"quinceroad/coordination/pipeline"
	"quinceroad/protocol/event"
	"quinceroad/protocol/pb"
)

// Requests whose engines all state rate limits queue for send grants at the owner of
// their cell, ordered by rank. A request that would wait too long is refused on arrival.

const (
	grantPollInterval = 20 * time.Millisecond // below the usual duration of an answer
	// Fraction of its time for which a request may have to wait for a grant when it arrives.
	// Each grant before its own is taken some ms late.
	grantWaitShare = 0.9
)

// queueForGrant adds the request to the grant queue if all its engines state rate limits.
// If the request would wait too long, it refuses the request and returns false.
func (r *ownedRequest) queueForGrant(send func(*pb.StagesReply) error) bool {
	c, n := r.cell, r.cell.owner.node
	if !n.advisories.hasLimits.Load() {
		return true
	}
	now := n.now()
	c.mu.Lock()
	supply := c.engines.GrantSupply(now, r.request)
	wait := time.Duration(0)
	if supply.Limited {
		c.lastRequestID++
		r.queueID = c.lastRequestID
		q := c.grantQueue(r.request.Service)
		wait = q.ExpectedWait(now, r.queueID, int(r.ask.Rank), supply)
		q.Add(r.queueID, int(r.ask.Rank))
	}
	c.mu.Unlock()
	mayWait := time.Duration(float64(r.maxGrantWait()) * grantWaitShare)
	if wait <= mayWait || !n.allLimited(r) {
		return true
	}
	n.counters.jobsRefused.Inc(1)
	event.NodeSendGrantRefused.Log(n.log, "request", r.ask.RequestId, "customer", r.ask.Customer, "rank", r.ask.Rank, "wait", wait, "may_wait", mayWait, "per_second", supply.PerSecond)
	// If sending fails, the peer sees the stream end.
	_ = send(&pb.StagesReply{Refused: true, RetryAfterUs: (wait - mayWait).Microseconds()})
	return false
}

// maxGrantWait returns how long the request may wait for a grant, from its arrival.
func (r *ownedRequest) maxGrantWait() time.Duration {
	if r.ask.LateToo {
		return time.Duration(r.ask.DeadlineUs) * time.Microsecond
	}
	return time.Duration(r.ask.ObjectiveUs) * time.Microsecond
}

// allLimited reports whether all engines of the request's service state rate limits,
// including those of other cells. Otherwise the instance that serves the request can send
// it to an unlimited engine of another cell.
func (n *Node) allLimited(r *ownedRequest) bool {
	for _, e := range n.snapshot.Load().eligible(r.request.Service) {
		if !r.request.Avoid[e.ID] && !n.advisories.isLimited(e.ID) {
			return false
		}
	}
	return true
}

// grantQueue returns the grant queue of a service. The caller must hold the cell's lock.
func (c *cell) grantQueue(service string) *pace.Queue {
	q := c.grantQueues[service]
	if q == nil {
		q = pace.NewQueue()
		c.grantQueues[service] = q
	}
	return q
}

// leaveGrantQueue removes the request from the grant queue. The caller must hold the
// cell's lock.
func (r *ownedRequest) leaveGrantQueue() {
	if r.queueID != 0 {
		r.cell.grantQueue(r.request.Service).Remove(r.queueID)
		r.queueID = 0
	}
}

// awaitGrant waits until an engine has a grant for the request and reports whether to
// continue. It fails a request as soon as the wait is known to be too long.
func (r *ownedRequest) awaitGrant(updates <-chan *pb.StagesNews, send func(*pb.StagesReply) error) bool {
	n := r.cell.owner.node
	for r.queueID != 0 && n.allLimited(r) {
		wait, isFirst := r.grantWait()
		if isFirst && wait == 0 {
			return true
		}
		if left := r.maxGrantWait() - (n.now() - r.startedAt); wait > left {
			_ = send(&pb.StagesReply{Failed: pipeline.ReasonBackoff, RetryAfterUs: (wait - max(left, 0)).Microseconds()})
			return false
		}
		timer := time.NewTimer(grantPollInterval)
		select {
		case _, open := <-updates:
			timer.Stop()
			if !open {
				return false
			}
		case <-timer.C:
		}
	}
	return true
}

// grantWait returns how long the request, whose stages are done, still waits for a grant,
// and whether it is the first among the requests that are ready.
func (r *ownedRequest) grantWait() (wait time.Duration, isFirst bool) {
	c, now := r.cell, r.cell.owner.node.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	q := c.grantQueue(r.request.Service)
	q.MarkReady(r.queueID)
	supply := c.engines.GrantSupply(now, r.request)
	if isFirst = q.IsFirst(r.queueID); isFirst {
		return max(supply.Next-now, 0), true
	}
	return q.ExpectedWait(now, r.queueID, int(r.ask.Rank), supply), false
}
