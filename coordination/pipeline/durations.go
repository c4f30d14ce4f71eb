package pipeline

import (
	"time"
)

// remainingTimes returns for each stage the time from its start to the end of the last stage
// that depends on it, without queueing.
func (j *job) remainingTimes() []time.Duration {
	remaining := make([]time.Duration, len(j.stages))
	for n := len(j.stages) - 1; n >= 0; n-- {
		remaining[n] += j.stages[n].duration()
		for _, a := range j.stages[n].def.After {
			remaining[a] = max(remaining[a], remaining[n])
		}
	}
	return remaining
}

// duration returns the time that a stage takes once its call starts. Items of other jobs share
// the call.
func (st *stage) duration() time.Duration {
	if len(st.items) == 0 {
		return 0
	}
	const batchPart = 0.6 // share of a full batch that runs before a given item ends, including its own job's items
	full := float64(st.pool.batchLimit(st.def.ResultBytes))
	items := max(full*batchPart, float64(min(len(st.items), st.pool.def.MaxBatch)))
	t := st.pool.def.BatchTime.Seconds() + items*st.pool.itemSeconds(st.def.ResultBytes)
	return time.Duration(t * float64(time.Second))
}

// isPremature reports whether an item should not run yet, because its large result, which only
// the request itself reads, would occupy memory while the rest of the job still runs.
func (x *stageItem) isPremature() bool {
	st := x.stage
	if st.def.ResultBytes < localityBytes || !st.isIsolated() {
		return false
	}
	return st.job.remainingTime() > st.duration()+st.pool.def.BatchTime
}

// isIsolated reports whether a stage neither reads results of other stages nor is read by
// them.
func (st *stage) isIsolated() bool { return st.isSink() && len(st.def.After) == 0 }

// remainingTime returns the time until the job's dependent stages are done, without queueing.
func (j *job) remainingTime() time.Duration {
	ends := make([]time.Duration, len(j.stages))
	last := time.Duration(0)
	for n, st := range j.stages {
		for _, a := range st.def.After {
			ends[n] = max(ends[n], ends[a])
		}
		if !st.isIsolated() && !st.isDone() {
			ends[n] += st.duration()
		}
		last = max(last, ends[n])
	}
	return last
}
