package pipeline

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// plan reckons a pool's next calls for a job that is not yet admitted: each
// replica, as it gets free, takes a call of the pieces that go before the job's,
// and the job's own have the places that are left. What still arrives and goes
// before takes places in calls as they fill up, not replicas: reckoned as work
// at the pace of today's calls it took up to two thirds of a pool, and jobs
// were refused for a second that there was.
type plan struct {
	pool     *pool
	replicas []planned     // a heap, the one that is free first at its top
	ahead    float64       // pieces that wait and go before
	arrivals float64       // pieces a second that still come and go before
	counted  time.Duration // from now, to which these are in ahead
	item     float64       // seconds that one of them takes in a call
}

// planned is a replica in a plan.
type planned struct {
	free  time.Duration // from now
	speed float64
	gap   time.Duration // between two calls, by what it states that it takes
}

// farthest is how far from now plans look: beyond it no job has time. It also
// bounds what a plan of a pool that falls behind costs.
const farthest = 15 * time.Second

// plan returns the plan for a job of a rank, of what is known now.
func (p *pool) plan(now time.Duration, rank int) *plan {
	pl := &plan{pool: p}
	for _, r := range p.order {
		if r.serving(now) {
			pl.replicas = append(pl.replicas, planned{free: r.free(now) - now, speed: r.speed, gap: r.turnGap})
		}
	}
	slices.SortFunc(pl.replicas, func(a, b planned) int { return cmp.Compare(a.free, b.free) })
	waiting, items := p.load.before(rank)
	arrivals, arriving := p.load.overtaking(now, rank)
	pl.ahead, pl.arrivals = float64(waiting), arrivals
	if n := pl.ahead + arrivals; n > 0 {
		pl.item = (items + arriving) / n
	}
	return pl
}

// place gives places in calls to a stage that is ready at a time from now on.
// It returns when the last of its pieces begins, and when it ends.
func (pl *plan) place(ready time.Duration, st *stage) (begins, ends time.Duration) {
	if len(pl.replicas) == 0 {
		return noReplica, noReplica
	}
	batch := float64(pl.pool.batchOf(st.def.Bytes))
	item := pl.pool.item(st.def.Bytes)
	begins, ends = ready, ready
	for left := float64(len(st.pieces)); left > 0; {
		at, speed := pl.replicas[0].free, pl.replicas[0].speed
		if at > farthest {
			return at, at + st.duration()
		}
		pl.arrive(at)
		if pl.ahead < 1 && at < ready { // idle until then
			at = ready
			pl.arrive(at)
		}
		others := min(pl.ahead, batch)
		own := 0.0
		if at >= ready {
			own = min(left, batch-others)
		}
		pl.ahead -= others
		left -= own
		took := pl.pool.def.BatchTime.Seconds() + others*pl.item + own*item
		done := at + time.Duration(took*speed*float64(time.Second))
		pl.keep(max(done, at+pl.replicas[0].gap))
		if own > 0 {
			begins = max(begins, at)
			ends = max(ends, done, at+st.duration()) // others may still fill the call up
		}
	}
	return begins, ends
}

// keep gives the replica that is free first a call until then, and keeps the
// replicas in the order of a heap.
func (pl *plan) keep(until time.Duration) {
	h := pl.replicas
	h[0].free = until
	for i := 0; ; {
		first := i
		for _, k := range []int{2*i + 1, 2*i + 2} {
			if k < len(h) && h[k].free < h[first].free {
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

// lastsFor is how long arrivals are taken to go on, fading, as they were seen
// to come lately: a burst ends. Where they went on for good, the least urgent would be
// refused for what does not come.
const lastsFor = 4 * time.Second

// arrive adds what comes until then.
func (pl *plan) arrive(until time.Duration) {
	if until > pl.counted {
		pl.ahead += pl.arrivals * (coming(until) - coming(pl.counted))
		pl.counted = until
	}
}

// coming is for how many seconds, at their present rate, arrivals come until then.
func coming(until time.Duration) float64 {
	return lastsFor.Seconds() * (1 - math.Exp(-until.Seconds()/lastsFor.Seconds()))
}

// noReplica stands for the time until a pool without replicas is through.
const noReplica = time.Hour

// clear is the time until a pool is through with all that waits.
func (p *pool) clear(now time.Duration) time.Duration {
	pl := p.plan(now, lateRank*2)
	for pl.ahead >= 1 {
		if len(pl.replicas) == 0 {
			return noReplica
		}
		n := min(pl.ahead, float64(p.def.MaxBatch))
		pl.ahead -= n
		took := (p.def.BatchTime.Seconds() + n*pl.item) * pl.replicas[0].speed
		pl.keep(pl.replicas[0].free + max(time.Duration(took*float64(time.Second)), pl.replicas[0].gap))
	}
	if len(pl.replicas) == 0 {
		return 0
	}
	return slices.MaxFunc(pl.replicas, func(a, b planned) int { return cmp.Compare(a.free, b.free) }).free
}
