package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"quinceroad/state/fleet"
)

const ms = time.Millisecond

func replicasOf(n, slots int) map[string]int {
	out := make(map[string]int)
	for i := range n {
		out[fmt.Sprintf("r%d", i)] = slots
	}
	return out
}

func task(id uint64, customer string, class fleet.Class, deadline time.Duration) Task {
	return Task{ID: id, Holder: "e", Customer: customer, Weight: 1, Class: class, Deadline: deadline, Expected: 10 * ms}
}

func TestQueueOrder(t *testing.T) {
	is := is.New(t)
	s := New(1)
	s.SetReplicas(0, replicasOf(1, 1))
	is.True(s.Submit(0, task(1, "a", fleet.Normal, time.Second))[0].Granted())
	for i, a := range []Task{
		task(2, "a", fleet.Batch, time.Second),
		task(3, "a", fleet.Normal, 900*ms),
		task(4, "a", fleet.Normal, 800*ms), // less slack than 3
		task(5, "b", fleet.Normal, time.Second),
		task(6, "a", fleet.Urgent, time.Second),
	} {
		is.Equal(len(s.Submit(time.Duration(i)*ms, a)), 0) // queued
	}
	var order []uint64
	for permit := uint64(1); len(order) < 5; permit++ {
		out := s.Release(10*ms, permit, 10*ms, false)
		is.Equal(len(out), 1)
		order = append(order, out[0].Task)
	}
	is.Equal(order[0], uint64(6))                   // the urgent first
	is.Equal(order[4], uint64(2))                   // batch last
	is.True(order[1] == 4 || order[1] == 5)         // a's task with least slack, or b's share
	is.True(order[3] != 5 || order[2] == uint64(4)) // b doesn't wait for all tasks of a
}

func TestFairShareAmongCustomers(t *testing.T) {
	is := is.New(t)
	s := New(1, WithShedSlackFactor(0))
	s.SetReplicas(0, replicasOf(1, 1))
	s.Submit(0, task(1, "greedy", fleet.Normal, time.Hour))
	for i := range uint64(100) {
		s.Submit(0, task(10+i, "greedy", fleet.Normal, time.Hour))
	}
	for i := range uint64(5) {
		s.Submit(0, task(1000+i, "small", fleet.Normal, time.Hour))
	}
	small := 0
	for permit := uint64(1); permit <= 12; permit++ {
		if out := s.Release(0, permit, ms, false); out[0].Task >= 1000 {
			small++
		}
	}
	is.Equal(small, 5) // five of the next twelve, although a hundred were queued before
}

func TestTooLateAndOverload(t *testing.T) {
	is := is.New(t)
	s := New(1)
	s.SetReplicas(0, replicasOf(1, 1))
	s.Submit(0, task(1, "a", fleet.Normal, time.Second))
	is.Equal(len(s.Submit(0, task(2, "a", fleet.Normal, 45*ms))), 0) // queued
	out := s.Tick(26 * ms)                                           // 19 ms of slack, below ShedSlackFactor times the expected 10 ms
	is.Equal(out[0].Reason, TooLate)
	for i := range uint64(50) {
		out = s.Submit(30*ms, task(10+i, "a", fleet.Normal, 130*ms))
	}
	is.Equal(out[0].Reason, Overload) // the queue is longer than its deadline
	is.True(out[0].RetryAfter > 0)
}

func TestAnnouncementsCount(t *testing.T) {
	is := is.New(t)
	s := New(1)
	s.SetReplicas(0, replicasOf(1, 1))
	admitted := 0
	for i := range uint64(50) {
		out := s.Announce(0, task(1+i, "a", fleet.Normal, 130*ms), 10*ms)
		if out[0].Admitted {
			admitted++
		}
	}
	is.True(admitted > 3 && admitted < 50) // as many as fit
	is.True(s.Submit(10*ms, task(1, "a", fleet.Normal, 130*ms))[0].Granted())
	is.Equal(s.Stats().Announced, admitted-1)
	s.Cancel(10*ms, 2, "e")
	is.Equal(s.Stats().Announced, admitted-2)
	s.Tick(time.Second)
	is.Equal(s.Stats().Announced, 0) // expired at their deadlines
}

func TestSlowReplicaAvoided(t *testing.T) {
	is := is.New(t)
	s := New(1)
	s.SetReplicas(0, replicasOf(4, 1))
	now := time.Duration(0)
	onSlow := 0
	for i := range uint64(200) {
		now += 20 * ms
		s.Tick(now)
		out := s.Submit(now, task(i+1, "a", fleet.Normal, now+time.Second))
		took := 10 * ms
		if out[0].Replica == "r0" {
			took = 100 * ms
			onSlow++
		}
		s.Release(now+took, out[0].Permit, took, false)
	}
	is.True(onSlow < 10) // of 200; an even share would be 50
}

func TestFailingReplicaEjected(t *testing.T) {
	is := is.New(t)
	s := New(1, WithShedSlackFactor(0))
	s.SetReplicas(0, replicasOf(3, 1))
	failed := 0
	for i := range uint64(20) { // each round has work for all three
		var granted []Action
		for j := range uint64(3) {
			granted = append(granted, s.Submit(0, task(3*i+j+1, "a", fleet.Normal, time.Hour))...)
		}
		for len(granted) > 0 {
			g := granted[0]
			bad := g.Replica == "r1"
			if bad {
				failed++
			}
			granted = append(granted[1:], s.Release(0, g.Permit, ms, bad)...)
		}
	}
	is.Equal(failed, ejectAfter)
}

// In any order of events, no replica runs more tasks than its slots, each task gets
// exactly one answer, and no state is left at the end.
func TestSlotsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &slotModel{s: New(1), inflight: map[string]int{}, permits: map[uint64]string{}, pending: map[uint64]bool{}}
		m.apply(t, m.s.SetReplicas(0, replicasOf(3, 2)))
		t.Repeat(map[string]func(*rapid.T){
			"ask":      m.submit,
			"announce": m.announce,
			"done":     m.done,
			"cancel":   m.cancel,
			"tick": func(t *rapid.T) {
				m.now += time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * ms
				m.apply(t, m.s.Tick(m.now))
			},
			"": func(t *rapid.T) {
				for r, n := range m.inflight {
					if n > 2 {
						t.Fatalf("replica %s runs %d tasks", r, n)
					}
				}
				if got := m.s.Stats(); got.Running != len(m.permits) {
					t.Fatalf("%d running, %d granted", got.Running, len(m.permits))
				}
			},
		})
		m.now += time.Hour
		m.apply(t, m.s.Tick(m.now))
		for len(m.permits) > 0 {
			m.done(t)
		}
		if len(m.pending) > 0 || m.s.Stats().Queued > 0 || m.s.Stats().Announced > 0 {
			t.Fatalf("%d tasks without an answer", len(m.pending))
		}
		for i := range m.s.queue.classes {
			if c := &m.s.queue.classes[i]; c.queued != 0 || c.announced != 0 || c.weight > 1e-9 {
				t.Fatalf("class %d has state left: %+v", i, *c)
			}
		}
	})
}

type slotModel struct {
	s         *Scheduler
	now       time.Duration
	lastID    uint64
	inflight  map[string]int
	permits   map[uint64]string
	pending   map[uint64]bool // submitted, not answered yet
	announced []uint64
}

func (m *slotModel) apply(t *rapid.T, out []Action) {
	for _, a := range out {
		if a.Admitted {
			m.announced = append(m.announced, a.Task)
			continue
		}
		if !m.pending[a.Task] && a.Granted() {
			t.Fatalf("task %d got a second answer", a.Task)
		}
		delete(m.pending, a.Task)
		if a.Granted() {
			m.inflight[a.Replica]++
			m.permits[a.Permit] = a.Replica
		}
	}
}

func (m *slotModel) draw(t *rapid.T) Task {
	m.lastID++
	left := time.Duration(rapid.IntRange(0, 300).Draw(t, "left")) * ms
	class := fleet.Class(rapid.IntRange(0, 2).Draw(t, "class"))
	return task(m.lastID, fmt.Sprint("c", rapid.IntRange(0, 2).Draw(t, "customer")), class, m.now+left)
}

func (m *slotModel) submit(t *rapid.T) {
	a := m.draw(t)
	if len(m.announced) > 0 && rapid.Bool().Draw(t, "announced") {
		a.ID = m.announced[0]
		m.announced = m.announced[1:]
	}
	m.pending[a.ID] = true
	m.apply(t, m.s.Submit(m.now, a))
}

func (m *slotModel) announce(t *rapid.T) { m.apply(t, m.s.Announce(m.now, m.draw(t), 20*ms)) }

func (m *slotModel) done(t *rapid.T) {
	for p, r := range m.permits {
		delete(m.permits, p)
		m.inflight[r]--
		m.apply(t, m.s.Release(m.now, p, time.Duration(rapid.IntRange(0, 50).Draw(t, "took"))*ms, rapid.Bool().Draw(t, "failed")))
		return
	}
}

func (m *slotModel) cancel(t *rapid.T) {
	for id := range m.pending {
		delete(m.pending, id)
		m.apply(t, m.s.Cancel(m.now, id, "e"))
		return
	}
}
