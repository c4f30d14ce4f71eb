package pipeline

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"quinceroad/state/catalog"
)

// One of twenty jobs in a call ends the replica of every call that it is in. It must be
// isolated after three ends: no other job is in a third failing call, and all others are done.
func TestThreeEndsIdentifyTheJob(t *testing.T) {
	is := is.New(t)
	const jobs, culprit, replicas = 20, 7, 6
	s := New()
	pool := &catalog.Pool{Slots: 1, MaxBatch: 40, BatchTime: 100 * time.Millisecond, ItemTime: time.Millisecond, ResultMemory: 1 << 30, ResultTTL: time.Minute}
	var all []catalog.Replica
	for n := range replicas {
		all = append(all, catalog.Replica{ID: string(rune('a' + n)), Service: "pool", Address: string(rune('a' + n))})
	}
	now := time.Duration(0)
	s.SetPools(now, map[string]*catalog.Service{"pool": {Name: "pool", Pool: pool}}, all)
	s.SetPools(now, map[string]*catalog.Service{"pool": {Name: "pool", Pool: pool}}, all[:1])
	ended, done := 0, 0
	var calls []Call
	handle := func(actions []Action) {
		for _, a := range actions {
			switch a := a.(type) {
			case Call:
				calls = append(calls, a)
			case Deliver:
				done++
			}
		}
	}
	for n := range jobs {
		id := string(rune('A' + n))
		_, actions := s.Submit(now, Job{RequestID: id, Objective: time.Minute, Deadline: time.Minute, Stages: []Stage{{Service: "pool", Items: 1, ResultBytes: 10}}})
		handle(actions)
	}
	handle(s.SetPools(now, map[string]*catalog.Service{"pool": {Name: "pool", Pool: pool}}, all))
	endsByRequest := make(map[string]int)
	for step := 0; step < 200 && done < jobs-1; step++ {
		now += 120 * time.Millisecond
		var open []Call
		open, calls = calls, nil
		for _, c := range open {
			crashes := false
			for _, x := range c.Items {
				crashes = crashes || x.RequestID == string(rune('A'+culprit))
			}
			if !crashes {
				results := make([]Result, len(c.Items))
				for i := range results {
					results[i].Handle = c.Items[i].RequestID
				}
				handle(s.FinishCall(now, c.ID, Answered, results))
				continue
			}
			ended++
			for _, x := range c.Items {
				endsByRequest[x.RequestID]++
			}
			handle(s.FinishCall(now, c.ID, Crashed, nil))
			if ended == 3 {
				handle(s.FailRequest(now, string(rune('A'+culprit)), "condemned"))
			}
		}
		handle(s.Tick(now))
	}
	is.Equal(ended, 3)
	is.Equal(done, jobs-1)
	for id, n := range endsByRequest {
		is.True(n < 3 || id == string(rune('A'+culprit)))
	}
}
