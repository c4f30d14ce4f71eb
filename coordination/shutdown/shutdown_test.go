package shutdown

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// A stream accepted 3.05 s into a stop of 8 s was broken off at 7.4 s.
func TestLongRequestsAreRejectedLateInAStop(t *testing.T) {
	is := is.New(t)
	const long, short = 20 * time.Second, 3 * time.Second
	p := NewPlan(8 * time.Second)
	for _, isRepeatable := range []bool{false, true} {
		is.True(!p.Accepts(3050*time.Millisecond, long, isRepeatable))
		is.True(p.Accepts(3050*time.Millisecond, short, isRepeatable)) // short requests are still accepted
		is.True(!p.Accepts(5*time.Second, short, isRepeatable))
	}
	is.True(p.Accepts(0, long, true))
	is.True(!p.Accepts(0, long, false)) // it may be lost
}

// Whatever the grace period, a request that may not be repeated is accepted only if it ends before those still
// running are answered; one that may be, also if clients can't have reacted yet.
func TestWhatMayBeLostIsNotAccepted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(label string, most time.Duration) time.Duration {
			return time.Duration(rapid.Int64Range(0, int64(most)).Draw(t, label))
		}
		p := NewPlan(draw("grace", time.Minute))
		since, limit, isRepeatable := draw("since", time.Minute), draw("limit", time.Minute), rapid.Bool().Draw(t, "repeatable")
		if !p.Accepts(since, limit, isRepeatable) {
			return
		}
		isSure := since+limit <= p.AnswersAt
		if !isSure && (!isRepeatable || since > maxLong) {
			t.Fatalf("%+v: accepts what arrives after %v and may take %v, repeatable: %v", p, since, limit, isRepeatable)
		}
	})
}

func TestThePlanEndsBeforeTheGracePeriod(t *testing.T) {
	for _, grace := range []time.Duration{100 * time.Millisecond, time.Second, 8 * time.Second, time.Minute} {
		p := NewPlan(grace)
		if !(p.LongUntil < p.AcceptsUntil && p.AcceptsUntil < p.AnswersAt && p.AnswersAt < p.End && p.End < grace) {
			t.Errorf("%v: %+v", grace, p)
		}
	}
}
