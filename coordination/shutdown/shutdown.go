// Package shutdown plans a graceful shutdown (connection draining): it decides which
// requests a stopping instance still accepts, so that none is broken off. Clients keep
// using its address for a while after it is no longer advertised, and every accepted
// request must be answered before the platform kills the process.
package shutdown

import "time"

// Plan is the schedule of a planned stop, as times since the stop signal.
type Plan struct {
	LongUntil    time.Duration // end of accepting requests that may take longer than is left
	AcceptsUntil time.Duration // end of accepting any
	AnswersAt    time.Duration // requests still running are answered, without a result
	End          time.Duration // the process ends
}

// Fractions of the grace period, and times.
const (
	longShare    = 0.25                    // they are accepted until clients had time to react, 2 s of 8 s
	maxLong      = 2500 * time.Millisecond // clients react no later where the grace is longer
	acceptsShare = 0.45                    // clients keep addresses for up to 5 s of 8 s
	endMargin    = 250 * time.Millisecond  // before the kill, so that the last answers are sent
	answerTime   = 250 * time.Millisecond  // for the last answers to be written
)

// NewPlan returns the plan for a platform that kills the process after grace.
func NewPlan(grace time.Duration) Plan {
	end := max(grace-endMargin, grace*3/4)
	return Plan{
		LongUntil:    min(share(grace, longShare), maxLong),
		AcceptsUntil: share(grace, acceptsShare),
		AnswersAt:    max(end-answerTime, grace/2),
		End:          end,
	}
}

func share(d time.Duration, x float64) time.Duration { return time.Duration(float64(d) * x) }

// Accepts reports whether a request is accepted that arrives this long after the stop signal and is
// answered within limit, whatever happens; others are told at once to retry elsewhere. One that may
// not be repeated is accepted only if it surely ends in time: what it usually takes is a guess, and a
// wrong one loses it.
func (p Plan) Accepts(since, limit time.Duration, isRepeatable bool) bool {
	if since+limit <= p.AnswersAt {
		return since < p.AcceptsUntil
	}
	return isRepeatable && since < p.LongUntil
}
