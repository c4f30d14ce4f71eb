package pipeline

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"quinceroad/state/catalog"
)

// Of twenty jobs in a call one ends the replica of each call that it is in:
// three replicas end, no other job is beside it a third time, and all others are done.
func TestThreeEndsShowWhichJobItIs(t *testing.T) {
	is := is.New(t)
	const jobs, guilty, replicas = 20, 7, 6
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
	takeIn := func(actions []Action) {
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
		_, actions := s.Submit(now, Job{RequestID: id, Objective: time.Minute, Deadline: time.Minute, Stages: []Stage{{Service: "pool", Pieces: 1, Bytes: 10}}})
		takeIn(actions)
	}
	takeIn(s.SetPools(now, map[string]*catalog.Service{"pool": {Name: "pool", Pool: pool}}, all))
	beside := make(map[string]int)
	for step := 0; step < 200 && done < jobs-1; step++ {
		now += 120 * time.Millisecond
		var open []Call
		open, calls = calls, nil
		for _, c := range open {
			crashes := false
			for _, x := range c.Items {
				crashes = crashes || x.RequestID == string(rune('A'+guilty))
			}
			if !crashes {
				results := make([]Result, len(c.Items))
				for i := range results {
					results[i].Handle = c.Items[i].RequestID
				}
				takeIn(s.Answer(now, c.ID, Answered, results))
				continue
			}
			ended++
			for _, x := range c.Items {
				beside[x.RequestID]++
			}
			takeIn(s.Answer(now, c.ID, Crashed, nil))
			if ended == 3 {
				takeIn(s.GiveUp(now, string(rune('A'+guilty)), "condemned"))
			}
		}
		takeIn(s.Tick(now))
	}
	is.Equal(ended, 3)
	is.Equal(done, jobs-1)
	for id, n := range beside {
		is.True(n < 3 || id == string(rune('A'+guilty)))
	}
}
