package pipeline

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// backOffAll sets a backoff for all replicas of the pool read.
func (h *harness) backOffAll(until time.Duration) {
	for _, id := range []string{"read-a", "read-b"} {
		h.s.SetBackoff(id, until)
	}
}

// A replica in backoff is free when the backoff ends: a job with enough time waits for it, and
// no call is sent before.
func TestJobWaitsForABackoff(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.backOffAll(time.Second)
	v := h.submit(newTestJob("r", 1))
	is.True(v.Admitted)
	for h.now < time.Second-50*ms {
		h.tick(50 * ms)
		is.Equal(h.busyReplicas("read"), 0)
	}
	h.tick(50 * ms)
	is.Equal(h.busyReplicas("read"), 1)
	is.Equal(len(h.failed), 0)
}

// A job without enough time is refused at once, with the time after which it could be
// admitted.
func TestJobIsRefusedIfAllReplicasBackOffTooLong(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.backOffAll(5 * time.Second)
	v := h.submit(newTestJob("r", 1))
	is.True(!v.Admitted)
	is.True(v.RetryAfter >= 3*time.Second && v.RetryAfter <= 5*time.Second) // backoff beyond the objective of 2 s
	h.s.SetBackoff("read-a", 0)                                             // a shorter backoff is ignored
	is.True(!h.submit(newTestJob("s", 1)).Admitted)
	h.now = 5 * time.Second
	is.True(h.submit(newTestJob("t", 1)).Admitted)
}

// If all replicas go into a backoff that is too long, an admitted job ends at once instead of
// at its deadline. A started job continues as long as it may still end before its deadline.
func TestAdmittedJobEndsIfAllReplicasBackOffTooLong(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	began := newTestJob("began", 1)
	began.Stages = append(began.Stages, Stage{Service: "read", After: []int{0}, Items: 1, ResultBytes: 10_000})
	first := h.submit(began)
	busy := h.submit(newTestJob("busy", 1))
	waits := h.submit(newTestJob("waits", 1))
	h.now = 220 * ms
	h.backOffAll(6 * time.Second)
	h.answer("read-a", Answered)
	h.answer("read-b", Answered)
	is.Equal(len(h.delivered[busy.ID]), 1)
	h.tick(50 * ms)
	is.Equal(h.failed[waits.ID].Reason, ReasonBackoff)
	is.True(h.failed[waits.ID].RetryAfter > 5*time.Second)
	is.Equal(h.failed[first.ID].Reason, "") // its deadline is at 8 s
	h.backOffAll(9 * time.Second)
	h.tick(50 * ms)
	is.Equal(h.failed[first.ID].Reason, ReasonBackoff)
}

// A replica without backoff gets the calls.
func TestOthersWorkWhileOneReplicaBacksOff(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.s.SetBackoff("read-a", 3*time.Second)
	for _, id := range []string{"r", "s", "t"} {
		is.True(h.submit(newTestJob(id, 1)).Admitted)
	}
	is.Equal(h.busyReplicas("read"), 1)
	is.True(h.calls["read-b"].ID != 0)
}
