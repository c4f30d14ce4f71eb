package pipeline

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// In a burst whoever was refused came back into the same burst and was refused
// for good; after one, a second's wait would have brought it through in time.
// Late answers are given where those who come back are not served in time.
func TestALateAnswerIsWeighedAgainstARefusal(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		name          string
		returnsServed bool // those that were refused lately and came back
		lateWorth     float64
		servedWorth   float64
		lateToo       bool
		admitted      bool
	}{
		{"who is refused is served in time when it comes back", true, 0.15, 0.1, true, false},
		{"who is refused is not served at all", false, 0.15, 0.1, true, true},
		{"a late answer is worth nothing", false, 0, 0, true, false},
		{"a late answer is worth nothing but that it is one", false, 0, 0.5, true, true},
		{"another region has it in time", false, 0.15, 0.1, false, false},
	} {
		b := newBench(t, WithWorth(c.lateWorth, c.servedWorth))
		for range 8 {
			j := newTestJob("ahead", 4)
			j.Objective = time.Minute // 32 pieces wait, 1.1 s
			is.True(b.submit(j).Admitted)
		}
		for range 100 { // who stood back was late
			note(&b.s.returnsOf(0).inTime, false)
			note(&b.s.returnsOf(0).served, c.returnsServed)
		}
		j := newTestJob(c.name, 1)
		j.Objective, j.AllowLate = time.Second, c.lateToo
		if v := b.submit(j); v.Admitted != c.admitted {
			t.Errorf("%s: admitted %v, expected %v against %v", c.name, v.Admitted, v.Expected, v.Limit)
		}
	}
}

// Whoever is admitted to be late is served, behind all that is in time, and who
// can't be served before its deadline either is refused at once.
func TestWhoIsAdmittedToBeLateIsServed(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		objective, deadline time.Duration
		late                float64 // worth of a late answer
		admitted            bool
	}{
		{500 * ms, time.Second, 0.15, false},
		{500 * ms, 20 * time.Second, 0.15, true},
	} {
		b := newBench(t, WithWorth(c.late, 0))
		for i := range 6 {
			j := newTestJob(fmt.Sprint(i), 4)
			j.Objective = time.Minute
			is.True(b.submit(j).Admitted)
		}
		j := newTestJob("back", 1)
		j.Retry, j.AllowLate, j.Objective, j.Deadline = true, true, c.objective, c.deadline
		v := b.submit(j)
		is.Equal(v.Admitted, c.admitted)
		for len(b.calls) > 0 {
			for _, r := range slices.Sorted(maps.Keys(b.calls)) {
				b.tick(10 * ms)
				if b.now >= b.s.calls[b.calls[r].ID].due {
					b.answer(r, Answered)
				}
			}
		}
		is.Equal(len(b.failed), 0)
		is.Equal(b.delivered[v.ID] != nil, c.admitted)
	}
}
