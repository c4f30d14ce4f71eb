package shutdown

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A stream taken 3.05 s into a stop of 8 s was cut off at 7.4 s.
func TestStreamsAreNotTakenLateInAStop(t *testing.T) {
	is := is.New(t)
	p := NewPlan(8 * time.Second)
	is.True(p.Accepts(0, true))
	is.True(!p.Accepts(3050*time.Millisecond, true))
	is.True(p.Accepts(3050*time.Millisecond, false)) // short ones are
	is.True(!p.Accepts(5*time.Second, false))
}

func TestThePlanEndsBeforeTheKill(t *testing.T) {
	for _, grace := range []time.Duration{100 * time.Millisecond, time.Second, 8 * time.Second, time.Minute} {
		p := NewPlan(grace)
		if !(p.StreamsUntil < p.RequestsUntil && p.RequestsUntil < p.End && p.End < grace) {
			t.Errorf("%v: %+v", grace, p)
		}
	}
}
