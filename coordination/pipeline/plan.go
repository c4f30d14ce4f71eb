package pipeline

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// plan simulates a pool's next calls for a job that is not yet admitted. Each replica, as it
// becomes free, takes a call of the items that go before the job's, and the job's own items
// get the places that are left. Work that will still arrive and go before takes places in
// calls as they fill up, not whole replicas. If it were counted as work at the current fill of
// calls, it would claim up to two thirds of a pool, and jobs would be refused although there
// is capacity.
type plan struct {
	pool         *pool
	replicas     []plannedReplica // heap by freeAt
	itemsAhead   float64          // waiting items that go before the job
	arrivalRate  float64          // items a second that will still arrive and go before the job
	countedUntil time.Duration    // from now; arrivals up to this time are in itemsAhead
	itemSeconds  float64          // time that each of these items adds to a call
}

// plannedReplica is a replica in a plan.
type plannedReplica struct {
	freeAt       time.Duration // from now
	slowdown     float64
	sendInterval time.Duration // between two calls under its rate limit; 0: no limit
}

// planHorizon is how far into the future plans look; no job has more time than that. It also
// bounds the cost of a plan for an overloaded pool.
const planHorizon = 15 * time.Second

// newPlan returns the plan for a job of the given rank, based on the current state of the
// pool.
func (p *pool) newPlan(now time.Duration, rank int) *plan {
	pl := &plan{pool: p}
	for _, r := range p.replicasByID {
		if r.isServing(now) {
			pl.replicas = append(pl.replicas, plannedReplica{freeAt: r.freeAt(now) - now, slowdown: r.slowdown, sendInterval: r.sendInterval})
		}
	}
	slices.SortFunc(pl.replicas, func(a, b plannedReplica) int { return cmp.Compare(a.freeAt, b.freeAt) })
	waitingItems, waitingSeconds := p.load.itemsAhead(rank)
	arrivals, arrivingSeconds := p.load.arrivalsAhead(now, rank)
	pl.itemsAhead, pl.arrivalRate = float64(waitingItems), arrivals
	if n := pl.itemsAhead + arrivals; n > 0 {
		pl.itemSeconds = (waitingSeconds + arrivingSeconds) / n
	}
	return pl
}

// place assigns places in calls to a stage that becomes ready at the given time from now. It
// returns when the last of the stage's items starts and when the stage ends.
func (pl *plan) place(ready time.Duration, st *stage) (starts, ends time.Duration) {
	if len(pl.replicas) == 0 {
		return noReplicaWait, noReplicaWait
	}
	batch := float64(pl.pool.batchLimit(st.def.ResultBytes))
	item := pl.pool.itemSeconds(st.def.ResultBytes)
	starts, ends = ready, ready
	for left := float64(len(st.items)); left > 0; {
		at, slowdown := pl.replicas[0].freeAt, pl.replicas[0].slowdown
		if at > planHorizon {
			return at, at + st.duration()
		}
		pl.addArrivals(at)
		if pl.itemsAhead < 1 && at < ready { // idle until the stage is ready
			at = ready
			pl.addArrivals(at)
		}
		others := min(pl.itemsAhead, batch)
		own := 0.0
		if at >= ready {
			own = min(left, batch-others)
		}
		pl.itemsAhead -= others
		left -= own
		took := pl.pool.def.BatchTime.Seconds() + others*pl.itemSeconds + own*item
		end := at + time.Duration(took*slowdown*float64(time.Second))
		pl.occupyFirst(max(end, at+pl.replicas[0].sendInterval))
		if own > 0 {
			starts = max(starts, at)
			ends = max(ends, end, at+st.duration()) // arriving items may still fill the call
		}
	}
	return starts, ends
}

// occupyFirst makes the replica that is free first busy until the given time and restores the
// heap order.
func (pl *plan) occupyFirst(until time.Duration) {
	h := pl.replicas
	h[0].freeAt = until
	for i := 0; ; {
		first := i
		for _, k := range []int{2*i + 1, 2*i + 2} {
			if k < len(h) && h[k].freeAt < h[first].freeAt {
				first = k
			}
		}
		if first == i {
			return
		}
		h[i], h[first] = h[first], h[i]
		i = first
	}
}

// arrivalDecay is the time constant with which the recent arrival rate is assumed to decay,
// because bursts end. With a constant rate the least urgent jobs would be refused for work
// that never arrives.
const arrivalDecay = 4 * time.Second

// addArrivals adds the items that are expected to arrive by the given time.
func (pl *plan) addArrivals(until time.Duration) {
	if until > pl.countedUntil {
		pl.itemsAhead += pl.arrivalRate * (arrivalSeconds(until) - arrivalSeconds(pl.countedUntil))
		pl.countedUntil = until
	}
}

// arrivalSeconds integrates the decaying arrival rate up to the given time, in seconds at the
// current rate.
func arrivalSeconds(until time.Duration) float64 {
	return arrivalDecay.Seconds() * (1 - math.Exp(-until.Seconds()/arrivalDecay.Seconds()))
}

// noReplicaWait stands for the expected time in a pool without replicas; a job
// refused for it gets DefaultRetryAfter.
const noReplicaWait = time.Hour

// backlogTime returns the time until a pool has finished all admitted work.
func (p *pool) backlogTime(now time.Duration) time.Duration {
	pl := p.newPlan(now, lateRank*2)
	for pl.itemsAhead >= 1 {
		if len(pl.replicas) == 0 {
			return noReplicaWait
		}
		n := min(pl.itemsAhead, float64(p.def.MaxBatch))
		pl.itemsAhead -= n
		took := (p.def.BatchTime.Seconds() + n*pl.itemSeconds) * pl.replicas[0].slowdown
		pl.occupyFirst(pl.replicas[0].freeAt + max(time.Duration(took*float64(time.Second)), pl.replicas[0].sendInterval))
	}
	if len(pl.replicas) == 0 {
		return 0
	}
	return slices.MaxFunc(pl.replicas, func(a, b plannedReplica) int { return cmp.Compare(a.freeAt, b.freeAt) }).freeAt
}
