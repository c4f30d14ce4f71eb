package pipeline

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// restAll has all replicas of the pool of the tests rest.
func (b *bench) restAll(until time.Duration) {
	for _, id := range []string{"read-a", "read-b"} {
		b.s.SetBackoff(id, until)
	}
}

// A resting replica is one that is free at its rest's end: a job that has the time
// waits for it, and no call goes out before.
func TestAJobWaitsForARest(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	b.restAll(time.Second)
	v := b.submit(newTestJob("r", 1))
	is.True(v.Admitted)
	for b.now < time.Second-50*ms {
		b.tick(50 * ms)
		is.Equal(b.working("read"), 0)
	}
	b.tick(50 * ms)
	is.Equal(b.working("read"), 1)
	is.Equal(len(b.failed), 0)
}

// One that does not is refused at once, and told when it would have had it.
func TestAJobIsRefusedWhereAllRestTooLong(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	b.restAll(5 * time.Second)
	v := b.submit(newTestJob("r", 1))
	is.True(!v.Admitted)
	is.True(v.RetryAfter >= 3*time.Second && v.RetryAfter <= 5*time.Second) // of the rest, what is beyond its objective of 2 s
	b.s.SetBackoff("read-a", 0)                                             // shortened: what was said first holds
	is.True(!b.submit(newTestJob("s", 1)).Admitted)
	b.now = 5 * time.Second
	is.True(b.submit(newTestJob("t", 1)).Admitted)
}

// An admitted job whose replicas all come to rest for too long ends as soon as
// that is known, not at its deadline; one whose work has begun goes on while it
// may still end before that.
func TestAnAdmittedJobEndsWhereAllRestTooLong(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	began := newTestJob("began", 1)
	began.Stages = append(began.Stages, Stage{Service: "read", After: []int{0}, Items: 1, ResultBytes: 10_000})
	first := b.submit(began)
	busy := b.submit(newTestJob("busy", 1))
	waits := b.submit(newTestJob("waits", 1))
	b.now = 220 * ms
	b.restAll(6 * time.Second)
	b.answer("read-a", Answered)
	b.answer("read-b", Answered)
	is.Equal(len(b.delivered[busy.ID]), 1)
	b.tick(50 * ms)
	is.Equal(b.failed[waits.ID].Reason, ReasonBackoff)
	is.True(b.failed[waits.ID].RetryAfter > 5*time.Second)
	is.Equal(b.failed[first.ID].Reason, "") // its deadline is at 8 s
	b.restAll(9 * time.Second)
	b.tick(50 * ms)
	is.Equal(b.failed[first.ID].Reason, ReasonBackoff)
}

// Where one replica does not rest, it gets what there is.
func TestTheOthersWorkWhileOneRests(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	b.s.SetBackoff("read-a", 3*time.Second)
	for _, id := range []string{"r", "s", "t"} {
		is.True(b.submit(newTestJob(id, 1)).Admitted)
	}
	is.Equal(b.working("read"), 1)
	is.True(b.calls["read-b"].ID != 0)
}
