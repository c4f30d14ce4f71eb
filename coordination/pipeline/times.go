package pipeline

import (
	"time"
)

// rests returns for each stage the time from its start to the end of the last
// stage that waits for it, without queues.
func (j *job) rests() []time.Duration {
	rest := make([]time.Duration, len(j.stages))
	for n := len(j.stages) - 1; n >= 0; n-- {
		rest[n] += j.stages[n].duration()
		for _, a := range j.stages[n].def.After {
			rest[a] = max(rest[a], rest[n])
		}
	}
	return rest
}

// duration is how long a stage takes once its call begins: pieces of others
// share the call.
func (st *stage) duration() time.Duration {
	if len(st.pieces) == 0 {
		return 0
	}
	const sharedPart = 0.6 // of a full call's pieces are before a given one ends, together with its own
	full := float64(st.pool.batchOf(st.def.Bytes))
	items := max(full*sharedPart, float64(min(len(st.pieces), st.pool.def.MaxBatch)))
	t := st.pool.def.BatchTime.Seconds() + items*st.pool.item(st.def.Bytes)
	return time.Duration(t * float64(time.Second))
}

// early reports whether a piece's result, large and read by nobody but the
// request itself, would only lie about and take others' room: the rest of the
// job takes longer still.
func (x *piece) early() bool {
	st := x.stage
	if st.def.Bytes < farBytes || !st.alone() {
		return false
	}
	return st.job.left() > st.duration()+st.pool.def.BatchTime
}

// alone reports whether a stage neither reads other stages' results nor has
// its own read by them.
func (st *stage) alone() bool { return st.sink() && len(st.def.After) == 0 }

// left is the time until the stages that follow each other are done, without queues.
func (j *job) left() time.Duration {
	ends := make([]time.Duration, len(j.stages))
	last := time.Duration(0)
	for n, st := range j.stages {
		for _, a := range st.def.After {
			ends[n] = max(ends[n], ends[a])
		}
		if !st.alone() && !st.done() {
			ends[n] += st.duration()
		}
		last = max(last, ends[n])
	}
	return last
}
