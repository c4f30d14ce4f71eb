package pipeline

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"quinceroad/coordination/warmup"
	"quinceroad/state/catalog"
)

// halls returns the test's replicas, those of hall b changed.
func halls(change func(*catalog.Replica)) []catalog.Replica {
	out := replicas()
	for i := range out {
		if out[i].Hall == "b" {
			change(&out[i])
		}
	}
	return out
}

// A hall that is being emptied gets no call and counts for nothing; what is at
// work there is taken in, and after its return it is used again.
func TestAnEmptiedHallIsNoCapacity(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	b.submit(newTestJob("first", 8)) // more than a call holds: both replicas work
	is.Equal(b.working("read"), 2)
	full := b.submit(newTestJob("before", 4)).Expected
	b.do(b.s.SetPools(b.now, services(), halls(func(r *catalog.Replica) { r.HallDrained = true })))
	is.True(b.submit(newTestJob("during", 4)).Expected > full)
	b.answer("read-b", Answered)
	_, busy := b.calls["read-b"]
	is.True(!busy)
	b.do(b.s.SetPools(b.now, services(), replicas()))
	b.tick(50 * ms)
	_, busy = b.calls["read-b"]
	is.True(busy)
}

// A cold replica gets no more calls in a second than its owner may give it.
func TestAColdPoolReplicaGetsFewCalls(t *testing.T) {
	is := is.New(t)
	b := newBench(t, Cold(warmup.Limit{Overrun: 1.5, Slack: 5}))
	cold := services()
	cold["read"].WarmUp = &catalog.WarmUp{Duration: time.Minute, RequestsPerSecond: 2}
	b.do(b.s.SetPools(0, cold, halls(func(r *catalog.Replica) { r.WarmingUntil = 10 * time.Second })))
	calls := 0
	for range 59 { // just under three seconds
		b.submit(newTestJob("job", 8)) // for both
		b.tick(50 * ms)
		if _, busy := b.calls["read-b"]; busy {
			calls++
			b.answer("read-b", Answered)
		}
		if _, busy := b.calls["read-a"]; busy {
			b.answer("read-a", Answered)
		}
	}
	is.Equal(calls, 2*3) // two a second
}
