package pipeline

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"quinceroad/coordination/warmup"
	"quinceroad/state/catalog"
)

// replicasWithHallB returns the replicas, with change applied to those in hall b.
func replicasWithHallB(change func(*catalog.Replica)) []catalog.Replica {
	out := replicas()
	for i := range out {
		if out[i].Hall == "b" {
			change(&out[i])
		}
	}
	return out
}

// A draining hall gets no calls and does not count as capacity. The results of its running
// calls are used, and once it is no longer drained it gets calls again.
func TestDrainedHallIsNoCapacity(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.submit(newTestJob("first", 8)) // more than one call holds, so both replicas are busy
	is.Equal(h.busyReplicas("read"), 2)
	full := h.submit(newTestJob("before", 4)).Expected
	h.apply(h.s.SetPools(h.now, services(), replicasWithHallB(func(r *catalog.Replica) { r.HallDrained = true })))
	is.True(h.submit(newTestJob("during", 4)).Expected > full)
	h.answer("read-b", Answered)
	_, busy := h.calls["read-b"]
	is.True(!busy)
	h.apply(h.s.SetPools(h.now, services(), replicas()))
	h.tick(50 * ms)
	_, busy = h.calls["read-b"]
	is.True(busy)
}

// A warming replica gets at most the permitted number of calls a second.
func TestWarmingReplicaGetsFewCalls(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, WithWarmUpLimit(warmup.Limit{Overrun: 1.5, Slack: 5}))
	withWarmUp := services()
	withWarmUp["read"].WarmUp = &catalog.WarmUp{Duration: time.Minute, RequestsPerSecond: 2}
	h.apply(h.s.SetPools(0, withWarmUp, replicasWithHallB(func(r *catalog.Replica) { r.WarmingUntil = 10 * time.Second })))
	calls := 0
	for range 59 { // just under three seconds
		h.submit(newTestJob("job", 8)) // for both replicas
		h.tick(50 * ms)
		if _, busy := h.calls["read-b"]; busy {
			calls++
			h.answer("read-b", Answered)
		}
		if _, busy := h.calls["read-a"]; busy {
			h.answer("read-a", Answered)
		}
	}
	is.Equal(calls, 2*3) // two a second
}
