package pipeline

import "slices"

// decisive is how many replicas end under a job before its next call is to show
// whether it is to blame.
const decisive = 2

// company is whose pieces are in a call. A call that ends its replica says
// nothing of which piece did it, so jobs under which one has ended are parted
// into small groups, and after a second end each is alone (group testing, after
// Dorfman, 1943): with 20 jobs in a call, three ends show which of them it is.
type company struct {
	most int // suspects in a call
	jobs []*job
}

// admits reports whether a job's pieces may go into the call.
func (c *company) admits(j *job) bool {
	if slices.Contains(c.jobs, j) {
		return true
	}
	if len(c.jobs) == 0 {
		return j.ReplicaEnds < decisive || !j.atWork()
	}
	if min(j.ReplicaEnds, decisive) != min(c.jobs[0].ReplicaEnds, decisive) {
		return false
	}
	switch {
	case j.ReplicaEnds == 0:
		return true
	case j.ReplicaEnds < decisive:
		return len(c.jobs) < c.most
	}
	return false
}

func (c *company) join(j *job) {
	if !slices.Contains(c.jobs, j) {
		c.jobs = append(c.jobs, j)
	}
}

// atWork reports whether a piece of the job is in a call.
func (j *job) atWork() bool {
	return slices.ContainsFunc(j.stages, func(st *stage) bool {
		return slices.ContainsFunc(st.pieces, func(x *piece) bool { return x.state == running })
	})
}

// jobs returns whose pieces a call holds, each once.
func (c *call) jobs() []*job {
	var out []*job
	for _, x := range c.pieces {
		if !slices.Contains(out, x.stage.job) {
			out = append(out, x.stage.job)
		}
	}
	return out
}
