package pipeline

import (
	"fmt"
	"testing"
	"time"

	"quinceroad/state/catalog"
)

// waitingJobs returns a scheduler whose replicas are all busy and that has the given number of
// waiting jobs of three ranks, each with two stages of four items.
func waitingJobs(b *testing.B, jobs int) *Scheduler {
	s := New()
	var list []catalog.Replica
	for _, service := range []string{"read", "rank"} {
		for i := range 18 {
			id := fmt.Sprint(service, "-", i)
			list = append(list, catalog.Replica{ID: id, Service: service, Hall: fmt.Sprint(i % 4), Address: id + ":1"})
		}
	}
	s.SetPools(0, services(), list)
	for i := range jobs {
		if v, _ := s.Submit(0, waitingJob(i)); !v.Admitted {
			b.Fatalf("job %d is refused with an expected time of %v", i, v.Expected)
		}
	}
	return s
}

func waitingJob(i int) Job {
	j := newTestJob(fmt.Sprint(i), 4)
	j.Rank = i % 3
	j.Objective, j.Deadline = time.Hour, 2*time.Hour
	j.Stages = append(j.Stages, Stage{Service: "rank", After: []int{0}, Items: 4, ResultBytes: 10_000})
	return j
}

// BenchmarkSubmit submits one more job and releases it at once.
func BenchmarkSubmit(b *testing.B) {
	for _, jobs := range []int{100, 1000} {
		b.Run(fmt.Sprint("waiting=", jobs), func(b *testing.B) {
			s := waitingJobs(b, jobs)
			for b.Loop() {
				v, _ := s.Submit(0, waitingJob(jobs))
				s.Release(0, v.ID)
			}
		})
	}
}

// BenchmarkTick runs one tick without anything due.
func BenchmarkTick(b *testing.B) {
	for _, jobs := range []int{100, 1000} {
		b.Run(fmt.Sprint("waiting=", jobs), func(b *testing.B) {
			s := waitingJobs(b, jobs)
			for b.Loop() {
				s.Tick(0)
			}
		})
	}
}

// BenchmarkThrottledCustomers looks for throttled customers, as each tick does, after the
// given number of customers have sent requests and there is enough capacity for all.
func BenchmarkThrottledCustomers(b *testing.B) {
	for _, customers := range []int{40, 5400} {
		b.Run(fmt.Sprint("customers=", customers), func(b *testing.B) {
			s := waitingJobs(b, 10)
			for i := range customers {
				j := waitingJob(i)
				j.Customer = fmt.Sprint("customer-", i)
				v, _ := s.Submit(0, j)
				s.Release(0, v.ID)
			}
			now := time.Duration(0)
			for b.Loop() {
				now += 50 * time.Millisecond
				s.ThrottledCustomers(now)
			}
		})
	}
}
