package pipeline

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"quinceroad/coordination/shares"
)

const (
	// surplusRank is added to the rank of jobs beyond their customer's share: they
	// go behind all that are within one, and before what is late.
	surplusRank = 500

	// surplusMargin is the part of the time beside its own that a job beyond its
	// customer's share may be expected to wait: what is within shares overtakes it
	// on the way, and what is then given up has cost the pools' time for nothing.
	surplusMargin = 0.8

	// waitFor is how much of its share a customer that asks for more may have
	// waiting. What waits was let in before it was seen that it floods, and would
	// hold the others up for as long as it takes.
	waitFor = 300 * time.Millisecond
)

// stand tells how a job stands within its customer's share, and puts what is
// beyond it behind.
func (s *Scheduler) stand(now time.Duration, j *job) shares.Standing {
	j.Needs = append(j.Needs, s.needs(now, j)...)
	standing := s.shares.RecordDemand(now, j.Customer, j.Rank, j.Told, j.Needs)
	if !standing.Within {
		j.surplus = true
		j.rank += surplusRank
	}
	return standing
}

// needs returns what a job would take of the pools, and what these have.
func (s *Scheduler) needs(now time.Duration, j *job) []shares.Need {
	var out []shares.Need
	for _, st := range j.stages {
		if len(st.pieces) > 0 {
			out = append(out, shares.Need{Resource: st.def.Service, Work: st.work(), Capacity: st.pool.capacity(now, &s.opts)})
		}
	}
	return out
}

// capacity is what a pool does in a second for those within their shares.
func (p *pool) capacity(now time.Duration, o *Options) float64 {
	if p.powerTo <= now {
		p.powerWas, p.powerTo = p.power(now), now+powerFor
	}
	return p.powerWas * o.AtWork * p.does
}

// powerFor is for how long what a pool's replicas amount to is not counted anew:
// it is asked for each job.
const powerFor = 20 * time.Millisecond

// heed follows what a pool really does of what its replicas could in full calls:
// room for results runs short as well, and calls are not always full. While what
// is within shares piles up, those that ask for more get less; the step is small
// as a queue tells of it late.
func (p *pool) heed(now time.Duration, held bool, o *Options) {
	if !held {
		p.does = min(p.does+doesStep, 1)
		return
	}
	waits := 0.0
	for _, x := range p.ready {
		if !x.stage.job.surplus && x.stage.job.rank < lateRank {
			waits += x.stage.each()
		}
	}
	switch queue := waits / max(p.capacity(now, o), doesLeast); {
	case queue > queueMost.Seconds():
		p.does = max(p.does-doesStep, doesLeast)
	case queue < queueMost.Seconds()/2:
		p.does = min(p.does+doesStep, 1)
	}
}

const (
	queueMost = 300 * time.Millisecond // of work within shares that may wait at a pool
	doesStep  = 0.02                   // at a tick
	doesLeast = 0.2                    // of full calls, that a pool is taken to do at least
)

// work is what a stage's pieces take of a pool: seconds of its replicas in full
// calls, as calls are when there is too much to do.
func (st *stage) work() float64 { return float64(len(st.pieces)) * st.each() }

// each is what one of a stage's pieces takes in a full call.
func (st *stage) each() float64 {
	return st.pool.def.CallTime.Seconds()/float64(st.pool.batchOf(st.def.Bytes)) + st.pool.item(st.def.Bytes)
}

// holdBack puts what waits of customers that ask for more than their share
// behind, beyond what their share does soon; the least urgent first.
func (s *Scheduler) holdBack(now time.Duration) {
	for _, p := range s.order {
		held := s.shares.Throttled(now, p.name)
		p.heed(now, len(held) > 0, &s.opts)
		waits := p.waitsOf(held)
		for _, customer := range slices.Sorted(maps.Keys(waits)) {
			s.holdBackTo(now, p, waits[customer])
		}
	}
}

// holdBackTo puts what waits of one customer behind until no more than its most is left.
func (s *Scheduler) holdBackTo(now time.Duration, p *pool, w *waiting) {
	slices.SortFunc(w.jobs, func(a, b *job) int { return cmp.Or(cmp.Compare(b.rank, a.rank), cmp.Compare(b.id, a.id)) })
	for _, j := range w.jobs {
		if w.work <= w.most {
			return
		}
		w.work -= j.workAt(p)
		s.putBehind(now, j)
	}
}

// waiting is what a customer that is held to a share has waiting at a pool.
type waiting struct {
	work float64 // seconds of the pool's replicas
	most float64 // of it, that may go on waiting where it is
	jobs []*job  // that may be put behind
}

// waitsOf returns what waits at a pool of those that are held to a share.
func (p *pool) waitsOf(held map[string]float64) map[string]*waiting {
	if len(held) == 0 {
		return nil
	}
	out := make(map[string]*waiting)
	for _, x := range p.ready {
		j := x.stage.job
		share, ok := held[j.Customer]
		if !ok || j.surplus || j.rank >= lateRank {
			continue
		}
		w := out[j.Customer]
		if w == nil {
			w = &waiting{most: share * waitFor.Seconds()}
			out[j.Customer] = w
		}
		w.work += x.stage.each()
		if !j.begun && !slices.Contains(w.jobs, j) {
			w.jobs = append(w.jobs, j)
		}
	}
	return out
}

// workAt is what a job has waiting at a pool.
func (j *job) workAt(p *pool) float64 {
	sum := 0.0
	for _, st := range j.stages {
		if st.pool != p {
			continue
		}
		for _, x := range st.pieces {
			if x.state == ready {
				sum += st.each()
			}
		}
	}
	return sum
}

// putBehind puts an admitted job behind all that is within a share, and ends it
// where that leaves it no time: its caller is told at once.
func (s *Scheduler) putBehind(now time.Duration, j *job) {
	j.surplus = true
	s.rerank(j, surplusRank)
	expected, limit := s.expect(now, j), j.surplusLimit(j.due-now)
	if expected > limit {
		s.fail(now, j, WhyShare, s.retryAfter(Verdict{Expected: expected, Limit: limit}))
	}
}

// surplusLimit is the time that a job beyond its customer's share may be expected
// to take, of so much until it is late.
func (j *job) surplusLimit(objective time.Duration) time.Duration {
	own := j.own()
	return own + time.Duration(float64(objective-own)*surplusMargin)
}

// WhyShare is why a job ends that its customer's share does not hold.
const WhyShare = "share"

// Customers returns those that ask for most of each pool, so many of each, and all
// that are held to a share.
func (s *Scheduler) Customers(now time.Duration, each int) []shares.Row {
	return s.shares.Rows(now, each)
}

// Held returns who is held to a share of which pool.
func (s *Scheduler) Held(now time.Duration) []shares.Row { return s.shares.ThrottledRows(now) }
