package pipeline

import (
	"maps"
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
	for _, id := range slices.Sorted(maps.Keys(s.jobs)) {
		j := s.jobs[id]
		if j.delivered {
			continue
		}
		lateFor := time.Duration(float64(j.Objective) * s.opts.LateShare)
		switch {
		case now >= j.dead, j.back && j.outOfTime(now):
			s.fail(now, j, "deadline", 0)
		case j.back:
		case now > j.due && (!j.started || now > j.due+lateFor):
			s.fail(now, j, "late", s.opts.Unknown)
		case j.rank < lateRank && j.willBeLate(now):
			if !j.started {
				s.fail(now, j, "late", s.opts.Unknown)
				continue
			}
			s.demote(j)
		}
	}
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

func (s *Scheduler) demote(j *job) {
	var counted []*piece
	for _, st := range j.stages {
		for _, x := range st.pieces {
			if x.counted {
				x.uncount()
				counted = append(counted, x)
			}
		}
	}
	j.rank += lateRank
	for _, x := range counted {
		x.count()
	}
}
