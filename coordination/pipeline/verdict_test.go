package pipeline

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A verdict names what its expectation is made of, and of the pools only those
// that the job asks for: the other one, far behind, has nothing to do with it.
func TestAVerdictNamesThePoolThatBoundIt(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	for range 20 {
		b.submit(Job{Objective: time.Minute, Deadline: time.Minute, Stages: []Stage{{Service: "rank", Items: 8, ResultBytes: 1}}})
	}
	for range 3 {
		b.submit(Job{Objective: time.Minute, Deadline: time.Minute, Stages: []Stage{{Service: "read", Items: 8, ResultBytes: 1}}})
	}
	job := Job{Objective: 500 * ms, Deadline: time.Second, Stages: []Stage{{Service: "read", Items: 1, ResultBytes: 1}, {Service: "rank"}}}
	is.True(job.Uses("read"))
	is.True(!job.Uses("rank")) // the stage has no pieces
	v := b.submit(job)
	is.True(!v.Admitted)
	is.Equal(v.Bottleneck, "read")
	is.Equal(v.Uncontended, 248*ms) // a call with 0.6 of its four pieces
	is.True(v.Expected > v.Limit)
	is.True(v.Uncontended < v.Limit) // alone it would have been in time
	is.Equal(b.submit(Job{Objective: time.Minute, Deadline: time.Minute, Stages: []Stage{{Service: "rank", Items: 1, ResultBytes: 1}}}).Bottleneck, "rank")
}

// Who is refused because a pool is not known is not told that it is its customer's share.
func TestARefusalForAnUnknownPoolIsNoShare(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	j := newTestJob("r", 1)
	j.Stages[0].Service = "unheard-of"
	v := b.submit(j)
	is.True(!v.Admitted)
	is.True(v.Standing.Within)
}
