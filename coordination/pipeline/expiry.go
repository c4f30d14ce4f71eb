package pipeline

import (
	"maps"
	"math"
	"slices"
	"time"
)

// lateRank is added to the rank of jobs that miss their objective, or are admitted although they
// will, so that they rank behind all others.
const lateRank = 1000

// endHopelessJobs ends jobs that miss their deadline, and those that miss their objective
// before any work was done on them, because waiting jobs take capacity from others. A started
// job that will be late continues behind the others, and ends once it has been late for
// LateGrace. A job that was admitted late ends as soon as it can't meet its deadline. Jobs whose
// replicas are all in backoff for too long end too (hopelessBackoff).
func (s *Scheduler) endHopelessJobs(now time.Duration) {
	for _, p := range s.poolsByName {
		p.backoffUntil = p.backoffEnd(now)
	}
	for _, id := range slices.Sorted(maps.Keys(s.jobs)) {
		j := s.jobs[id]
		if j.delivered {
			continue
		}
		lateFor := time.Duration(float64(j.Objective) * s.opts.LateGrace)
		switch {
		case now >= j.expiresAt, j.admittedLate && j.willMissDeadline(now):
			s.fail(now, j, "deadline", 0)
		case j.hopelessBackoff() > now:
			s.fail(now, j, ReasonBackoff, j.hopelessBackoff()-now)
		case j.admittedLate:
		case now > j.dueAt && (!j.started || now > j.dueAt+lateFor):
			s.fail(now, j, "late", s.opts.DefaultRetryAfter)
		case j.rank < lateRank && j.willMissObjective(now):
			if !j.started {
				s.fail(now, j, "late", s.opts.DefaultRetryAfter)
				continue
			}
			s.demoteLate(j)
		}
	}
}

// ReasonBackoff is the reason for ending a job whose stages need a pool where all replicas are
// in backoff for too long.
const ReasonBackoff = "rest"

// backoffEnd returns when the first replica of a pool ends its backoff; 0 if some replica is
// not in backoff or none accepts work.
func (p *pool) backoffEnd(now time.Duration) time.Duration {
	first := time.Duration(math.MaxInt64)
	for _, r := range p.replicasByID {
		if r.acceptsWork() {
			first = min(first, r.backoffUntil)
		}
	}
	if first <= now || first == math.MaxInt64 {
		return 0
	}
	return first
}

// hopelessBackoff returns the end of the backoff of the pools that the job waits for if it is
// too late for the job: after its latest start, or after its deadline if it has started or was
// admitted late.
// Otherwise it returns 0. This fails such jobs at once instead of at their deadline.
func (j *job) hopelessBackoff() time.Duration {
	until := time.Duration(0)
	for _, st := range j.stages {
		latest := st.latestStart
		if j.started || j.admittedLate {
			latest = j.expiresAt
		}
		if st.pool.backoffUntil > latest && st.hasUnstartedItems() {
			until = max(until, st.pool.backoffUntil)
		}
	}
	return until
}

// willMissDeadline reports whether a stage with unstarted items can no longer lead to a result
// before the deadline.
func (j *job) willMissDeadline(now time.Duration) bool {
	for _, st := range j.stages {
		if now > st.latestStart+j.expiresAt-j.dueAt && st.hasUnstartedItems() {
			return true
		}
	}
	return false
}

// hasUnstartedItems reports whether the stage has items that are neither running nor done.
func (st *stage) hasUnstartedItems() bool {
	return slices.ContainsFunc(st.items, func(x *stageItem) bool { return x.state == ready || x.state == blocked })
}

// willMissObjective reports whether a stage with unstarted items is past its latest start.
func (j *job) willMissObjective(now time.Duration) bool {
	for _, st := range j.stages {
		if now > st.latestStart && st.hasUnstartedItems() {
			return true
		}
	}
	return false
}

// demoteLate ranks a late job behind the others.
func (s *Scheduler) demoteLate(j *job) { s.rerank(j, lateRank) }

// rerank adds an offset to the rank of a job.
func (s *Scheduler) rerank(j *job, offset int) {
	var counted []*stageItem
	for _, st := range j.stages {
		for _, x := range st.items {
			if x.inLoad {
				x.removeFromLoad()
				counted = append(counted, x)
			}
		}
	}
	j.moveQueuedMemory(j.rank + offset)
	j.rank += offset
	for _, x := range counted {
		x.addToLoad()
	}
}
