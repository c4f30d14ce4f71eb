package shutdown

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A stream accepted 3.05 s into a stop of 8 s was broken off at 7.4 s.
func TestStreamsAreRejectedLateInAStop(t *testing.T) {
	is := is.New(t)
	p := NewPlan(8 * time.Second)
	is.True(p.Accepts(0, true))
	is.True(!p.Accepts(3050*time.Millisecond, true))
	is.True(p.Accepts(3050*time.Millisecond, false)) // short requests are still accepted
	is.True(!p.Accepts(5*time.Second, false))
}

func TestThePlanEndsBeforeTheGracePeriod(t *testing.T) {
	for _, grace := range []time.Duration{100 * time.Millisecond, time.Second, 8 * time.Second, time.Minute} {
		p := NewPlan(grace)
		if !(p.StreamsUntil < p.RequestsUntil && p.RequestsUntil < p.End && p.End < grace) {
			t.Errorf("%v: %+v", grace, p)
		}
	}
}
