// Package shutdown plans a graceful shutdown (connection draining): it decides which
// requests a stopping instance still accepts, so that none is broken off. Clients keep
// using its address for a while after it is no longer advertised, and every accepted
// request must end before the platform kills the process.
package shutdown

import "time"

// Plan is the schedule of a planned stop, as times since the stop signal.
type Plan struct {
	StreamsUntil  time.Duration // end of accepting streams
	RequestsUntil time.Duration // end of accepting short requests
	End           time.Duration // requests still running are ended
}

// Fractions of the grace period.
const (
	streamsShare  = 0.25                   // streams take seconds: they are accepted until clients had time to react, 2 s of 8 s
	requestsShare = 0.45                   // short requests end within the remaining time; clients keep addresses for up to 5 s of 8 s
	endMargin     = 250 * time.Millisecond // before the kill, so that the last answers are sent
)

// NewPlan returns the plan for a platform that kills the process after grace.
func NewPlan(grace time.Duration) Plan {
	return Plan{
		StreamsUntil:  share(grace, streamsShare),
		RequestsUntil: share(grace, requestsShare),
		End:           max(grace-endMargin, grace/2),
	}
}

func share(d time.Duration, x float64) time.Duration { return time.Duration(float64(d) * x) }

// Accepts reports whether a request that arrives this long after the stop signal is
// accepted; others are told at once to retry elsewhere.
func (p Plan) Accepts(since time.Duration, stream bool) bool {
	if stream {
		return since < p.StreamsUntil
	}
	return since < p.RequestsUntil
}
