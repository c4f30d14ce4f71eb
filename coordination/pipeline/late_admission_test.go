package pipeline

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// During a burst, refused requests returned into the same burst and were refused again; after
// it, a wait of a second would have got them an answer in time. Late answers must be given
// only if retries are not served in time.
func TestLateAnswerIsComparedWithARefusal(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		name          string
		retriesInTime bool // jobs that were refused recently and came back
		lateWorth     float64
		servedWorth   float64
		allowLate     bool
		admitted      bool
	}{
		{"a refused job is in time when it is retried", true, 0.15, 0.1, true, false},
		{"a refused job is not served when it is retried", false, 0.15, 0.1, true, true},
		{"a late answer is worth nothing", false, 0, 0, true, false},
		{"a late answer has only the worth of any answer", false, 0, 0.5, true, true},
		{"another region can serve it in time", false, 0.15, 0.1, false, false},
	} {
		h := newHarness(t, WithWorth(c.lateWorth, c.servedWorth))
		for range 8 {
			j := newTestJob("ahead", 4)
			j.Objective = time.Minute // 32 items wait, 1.1 s
			is.True(h.submit(j).Admitted)
		}
		for range 100 { // jobs admitted late were not in time
			recordOutcome(&h.s.lateStatsOf(0).lateAdmittedInTime, false)
			recordOutcome(&h.s.lateStatsOf(0).retriesInTime, c.retriesInTime)
		}
		j := newTestJob(c.name, 1)
		j.Objective, j.AllowLate = time.Second, c.allowLate
		if v := h.submit(j); v.Admitted != c.admitted {
			t.Errorf("%s: admitted %v, expected %v against %v", c.name, v.Admitted, v.Expected, v.Limit)
		}
	}
}

// A job that is admitted late is served after all jobs in time. It is refused at once if it
// would miss its deadline too.
func TestJobAdmittedLateIsServed(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		objective, deadline time.Duration
		late                float64 // worth of a late answer
		admitted            bool
	}{
		{500 * ms, time.Second, 0.15, false},
		{500 * ms, 20 * time.Second, 0.15, true},
	} {
		h := newHarness(t, WithWorth(c.late, 0))
		for i := range 6 {
			j := newTestJob(fmt.Sprint(i), 4)
			j.Objective = time.Minute
			is.True(h.submit(j).Admitted)
		}
		j := newTestJob("back", 1)
		j.Retry, j.AllowLate, j.Objective, j.Deadline = true, true, c.objective, c.deadline
		v := h.submit(j)
		is.Equal(v.Admitted, c.admitted)
		for len(h.calls) > 0 {
			for _, r := range slices.Sorted(maps.Keys(h.calls)) {
				h.tick(10 * ms)
				if h.now >= h.s.calls[h.calls[r].ID].dueAt {
					h.answer(r, Answered)
				}
			}
		}
		is.Equal(len(h.failed), 0)
		is.Equal(h.delivered[v.ID] != nil, c.admitted)
	}
}
