package node

import (
	"time"

	"quinceroad/coordination/pace"
	"quinceroad/coordination/pipeline"
	"quinceroad/protocol/event"
	"quinceroad/protocol/pb"
)

// Requests whose engines all state limits wait for turns at their cell's owner: the
// more urgent first. What would wait too long is refused as it comes.

const turnLook = 20 * time.Millisecond // between looks whether it is a request's turn, below an answer's usual time

// wantsTurn has a request wait its turn among the others, if its engines all state
// limits. It refuses one that would be late by that, and reports that it did not.
func (r *ownedRequest) wantsTurn(send func(*pb.StagesReply) error) bool {
	c, n := r.cell, r.cell.owner.node
	if !n.statements.paced.Load() {
		return true
	}
	now := n.now()
	c.mu.Lock()
	supply := c.engines.GrantSupply(now, r.request)
	wait := time.Duration(0)
	if supply.Limited {
		c.next++
		r.wants = c.next
		q := c.turnsOf(r.request.Service)
		wait = q.ExpectedWait(now, r.wants, int(r.ask.Rank), supply)
		q.Add(r.wants, int(r.ask.Rank))
	}
	c.mu.Unlock()
	if wait <= r.mayWait() || !n.allLimited(r) {
		return true
	}
	n.counters.jobsRefused.Inc(1)
	event.NodeSendGrantRefused.Log(n.log, "request", r.ask.RequestId, "customer", r.ask.Customer, "rank", r.ask.Rank, "wait", wait, "may_wait", r.mayWait(), "per_second", supply.PerSecond)
	_ = send(&pb.StagesReply{Refused: true, RetryAfterUs: (wait - r.mayWait()).Microseconds()}) // the asker sees that the stream ends
	return false
}

// mayWait is how long a request may wait for its engine's turn, from when it came.
func (r *ownedRequest) mayWait() time.Duration {
	if r.ask.LateToo {
		return time.Duration(r.ask.DeadlineUs) * time.Microsecond
	}
	return time.Duration(r.ask.ObjectiveUs) * time.Microsecond
}

// allLimited reports whether all engines of a request's service state limits, other
// cells' included: else its instance finds one there.
func (n *Node) allLimited(r *ownedRequest) bool {
	for _, e := range n.world.Load().eligibleByService[r.request.Service] {
		if !r.request.Avoid[e.ID] && !n.statements.limits(e.ID) {
			return false
		}
	}
	return true
}

// turnsOf returns the queue for a service's turns. It needs the cell's lock.
func (c *cell) turnsOf(service string) *pace.Queue {
	q := c.turns[service]
	if q == nil {
		q = pace.NewQueue()
		c.turns[service] = q
	}
	return q
}

// leaveTurns takes a request out of those that want turns. It needs the cell's lock.
func (r *ownedRequest) leaveTurns() {
	if r.wants != 0 {
		r.cell.turnsOf(r.request.Service).Remove(r.wants)
		r.wants = 0
	}
}

// awaitTurn waits until it is a request's turn at an engine, and reports whether it
// goes on; one that would be late is told so as soon as that is known.
func (r *ownedRequest) awaitTurn(news <-chan *pb.StagesNews, send func(*pb.StagesReply) error) bool {
	n := r.cell.owner.node
	for r.wants != 0 && n.allLimited(r) {
		wait, isFirst := r.turn()
		if isFirst && wait == 0 {
			return true
		}
		if left := r.mayWait() - (n.now() - r.began); wait > left {
			_ = send(&pb.StagesReply{Failed: pipeline.ReasonBackoff, RetryAfterUs: (wait - max(left, 0)).Microseconds()})
			return false
		}
		look := time.NewTimer(turnLook)
		select {
		case _, open := <-news:
			look.Stop()
			if !open {
				return false
			}
		case <-look.C:
		}
	}
	return true
}

// turn returns how long a request that is ready waits for its turn, and whether
// nobody who is ready goes before it.
func (r *ownedRequest) turn() (wait time.Duration, isFirst bool) {
	c, now := r.cell, r.cell.owner.node.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	q := c.turnsOf(r.request.Service)
	q.MarkReady(r.wants)
	supply := c.engines.GrantSupply(now, r.request)
	if isFirst = q.IsFirst(r.wants); isFirst {
		return max(supply.Next-now, 0), true
	}
	return q.ExpectedWait(now, r.wants, int(r.ask.Rank), supply), false
}
