package pipeline

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A decision names the pool that the job waits for longest. Only pools for which the job has
// items count, however overloaded others are.
func TestDecisionNamesTheBottleneck(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	for range 20 {
		h.submit(Job{Objective: time.Minute, Deadline: time.Minute, Stages: []Stage{{Service: "rank", Items: 8, ResultBytes: 1}}})
	}
	for range 3 {
		h.submit(Job{Objective: time.Minute, Deadline: time.Minute, Stages: []Stage{{Service: "read", Items: 8, ResultBytes: 1}}})
	}
	job := Job{Objective: 500 * ms, Deadline: time.Second, Stages: []Stage{{Service: "read", Items: 1, ResultBytes: 1}, {Service: "rank"}}}
	is.True(job.Uses("read"))
	is.True(!job.Uses("rank")) // the stage has no items
	v := h.submit(job)
	is.True(!v.Admitted)
	is.Equal(v.Bottleneck, "read")
	is.Equal(v.Uncontended, 248*ms) // a call with 0.6 of its four items
	is.True(v.Expected > v.Limit)
	is.True(v.Uncontended < v.Limit) // without queueing it would have been in time
	is.Equal(h.submit(Job{Objective: time.Minute, Deadline: time.Minute, Stages: []Stage{{Service: "rank", Items: 1, ResultBytes: 1}}}).Bottleneck, "rank")
}

// A refusal because of an unknown pool is not attributed to the customer's share.
func TestRefusalForAnUnknownPoolIsWithinShare(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	j := newTestJob("r", 1)
	j.Stages[0].Service = "unheard-of"
	v := h.submit(j)
	is.True(!v.Admitted)
	is.True(v.Standing.Within)
}
