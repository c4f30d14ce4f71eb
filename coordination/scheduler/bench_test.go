package scheduler

import (
	"fmt"
	"testing"
	"time"

	"quinceroad/state/fleet"
)

// BenchmarkDecision measures one submission and one release at 90% of the slots as the
// number of replicas grows. The cost should be constant or logarithmic.
func BenchmarkDecision(b *testing.B) {
	for _, policy := range []Policy{Exact, Local, LeastInflight, RoundRobin} {
		for _, n := range []int{12, 600, 6000} {
			b.Run(fmt.Sprintf("%s/replicas=%d", policy, n), func(b *testing.B) {
				const slots = 4
				s := New(1, WithPolicy(policy))
				s.SetReplicas(0, replicasOf(n, slots))
				var out []Action
				id := uint64(0)
				for range n * slots * 9 / 10 {
					id++
					out = append(out, s.Submit(0, task(id, "c", fleet.Normal, time.Hour))...)
				}
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					id++
					s.Release(0, out[i%len(out)].Permit, 10*time.Millisecond, false)
					out[i%len(out)] = s.Submit(0, task(id, "c", fleet.Normal, time.Hour))[0]
				}
			})
		}
	}
}

// BenchmarkQueue measures one submission and one grant with a queue that holds tasks of
// many customers.
func BenchmarkQueue(b *testing.B) {
	for _, customers := range []int{5, 540, 5400} {
		b.Run(fmt.Sprintf("customers=%d", customers), func(b *testing.B) {
			s := New(1, WithShedSlackFactor(0))
			s.SetReplicas(0, replicasOf(1, 1))
			id := uint64(1)
			permit := s.Submit(0, task(id, "c0", fleet.Normal, time.Hour))[0].Permit
			for range 4 * customers {
				id++
				s.Submit(0, task(id, fmt.Sprint("c", int(id)%customers), fleet.Normal, time.Hour))
			}
			names := make([]string, customers)
			for i := range names {
				names[i] = fmt.Sprint("c", i)
			}
			b.ReportAllocs()
			for b.Loop() {
				id++
				s.Submit(0, task(id, names[id%uint64(customers)], fleet.Normal, time.Hour))
				permit = s.Release(0, permit, time.Millisecond, false)[0].Permit
			}
		})
	}
}
