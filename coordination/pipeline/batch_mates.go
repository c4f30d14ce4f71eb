package pipeline

import "slices"

// isolateAfterEnds is the number of replica ends during a job after which the job runs alone,
// so that its next call shows whether it is the cause.
const isolateAfterEnds = 2

// batchMates holds the jobs whose items share a call. If a call ends its replica, any of its
// items may be the cause. Jobs during which one replica has ended are therefore split into
// small groups, and after a second end each runs alone (group testing, after Dorfman, 1943).
// With 20 jobs in a call, three ends identify the cause.
type batchMates struct {
	maxSuspects int // upper bound in a call
	jobs        []*job
}

// admits reports whether a job's items may be added to the call.
func (m *batchMates) admits(j *job) bool {
	if slices.Contains(m.jobs, j) {
		return true
	}
	if len(m.jobs) == 0 {
		return j.ReplicaEnds < isolateAfterEnds || !j.isRunning()
	}
	if min(j.ReplicaEnds, isolateAfterEnds) != min(m.jobs[0].ReplicaEnds, isolateAfterEnds) {
		return false
	}
	switch {
	case j.ReplicaEnds == 0:
		return true
	case j.ReplicaEnds < isolateAfterEnds:
		return len(m.jobs) < m.maxSuspects
	}
	return false
}

func (m *batchMates) add(j *job) {
	if !slices.Contains(m.jobs, j) {
		m.jobs = append(m.jobs, j)
	}
}

// isRunning reports whether any item of the job is in a call.
func (j *job) isRunning() bool {
	return slices.ContainsFunc(j.stages, func(st *stage) bool {
		return slices.ContainsFunc(st.items, func(x *stageItem) bool { return x.state == running })
	})
}

// jobs returns the distinct jobs whose items the call holds.
func (c *call) jobs() []*job {
	var out []*job
	for _, x := range c.items {
		if !slices.Contains(out, x.stage.job) {
			out = append(out, x.stage.job)
		}
	}
	return out
}
