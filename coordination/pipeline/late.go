package pipeline

import (
	"maps"
	"math"
	"slices"
	"time"
)

// lateRank is added to the rank of jobs that miss their objective.
const lateRank = 1000

// hopelessJobs ends jobs that miss their deadline, and those that miss their
// objective before any work was done on them: what waits there takes the time
// of others. Jobs that will be late, and those that are, go on behind the
// others, the latter for a while.
func (s *Scheduler) hopelessJobs(now time.Duration) {
	for _, p := range s.order {
		p.restTo = p.restsTo(now)
	}
	for _, id := range slices.Sorted(maps.Keys(s.jobs)) {
		j := s.jobs[id]
		if j.delivered {
			continue
		}
		lateFor := time.Duration(float64(j.Objective) * s.opts.LateGrace)
		switch {
		case now >= j.dead, j.back && j.outOfTime(now):
			s.fail(now, j, "deadline", 0)
		case j.restsUntil() > now:
			s.fail(now, j, ReasonBackoff, j.restsUntil()-now)
		case j.back:
		case now > j.due && (!j.begun || now > j.due+lateFor):
			s.fail(now, j, "late", s.opts.DefaultRetryAfter)
		case j.rank < lateRank && j.willBeLate(now):
			if !j.begun {
				s.fail(now, j, "late", s.opts.DefaultRetryAfter)
				continue
			}
			s.demote(j)
		}
	}
}

// WhyRest is why a job ends for whose stages all replicas rest for too long.
const ReasonBackoff = "rest"

// restsTo returns until when all replicas of a pool that take work rest; 0 when
// one does not, or there is none.
func (p *pool) restsTo(now time.Duration) time.Duration {
	first := time.Duration(math.MaxInt64)
	for _, r := range p.order {
		if r.takes() {
			first = min(first, r.restTo)
		}
	}
	if first <= now || first == math.MaxInt64 {
		return 0
	}
	return first
}

// restsUntil returns until when all replicas rest that a job waits for, where that
// is too long for it: it would begin late, or after its deadline where work was
// done for it. What is known is told at once, not at the deadline; 0 otherwise.
func (j *job) restsUntil() time.Duration {
	until := time.Duration(0)
	for _, st := range j.stages {
		last := st.latest
		if j.begun || j.back {
			last = j.dead
		}
		if st.pool.restTo > last && st.waits() {
			until = max(until, st.pool.restTo)
		}
	}
	return until
}

// outOfTime reports whether a stage whose pieces still wait can't lead to a
// result before the deadline.
func (j *job) outOfTime(now time.Duration) bool {
	for _, st := range j.stages {
		if now > st.latest+j.dead-j.due && st.waits() {
			return true
		}
	}
	return false
}

// waits reports whether a stage has pieces that are neither done nor at work.
func (st *stage) waits() bool {
	return slices.ContainsFunc(st.pieces, func(x *piece) bool { return x.state == ready || x.state == blocked })
}

// willBeLate reports whether a stage whose pieces still wait should have begun.
func (j *job) willBeLate(now time.Duration) bool {
	for _, st := range j.stages {
		if now > st.latest && st.waits() {
			return true
		}
	}
	return false
}

// demote has a late job go on behind the others.
func (s *Scheduler) demote(j *job) { s.rerank(j, lateRank) }

// rerank puts a job that many ranks behind where it is.
func (s *Scheduler) rerank(j *job, by int) {
	var counted []*piece
	for _, st := range j.stages {
		for _, x := range st.pieces {
			if x.counted {
				x.uncount()
				counted = append(counted, x)
			}
		}
	}
	j.moveWant(j.rank + by)
	j.rank += by
	for _, x := range counted {
		x.count()
	}
}
