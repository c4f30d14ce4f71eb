// Package shutdown decides what a stopping instance still takes, so that a
// planned stop cuts off no request: clients keep its address for a while after
// it has left the answers, and whatever it takes must end before the platform
// ends the process.
package shutdown

import "time"

// Plan is the course of one planned stop, as times since the stop signal.
type Plan struct {
	StreamsUntil  time.Duration // streams are still taken
	RequestsUntil time.Duration // short requests are still taken
	End           time.Duration // the process ends whatever runs
}

// Shares of the time that the platform gives.
const (
	streamsShare = 0.25                   // streams last seconds: they are taken until clients had time to notice, 2 s of 8
	takesShare   = 0.45                   // short requests end within the rest; clients keep addresses for up to 5 s of 8
	endMargin    = 250 * time.Millisecond // before the platform kills, for the last answers to leave
)

// For returns the plan for a platform that kills after grace.
func NewPlan(grace time.Duration) Plan {
	return Plan{
		StreamsUntil:  share(grace, streamsShare),
		RequestsUntil: share(grace, takesShare),
		End:           max(grace-endMargin, grace/2),
	}
}

func share(d time.Duration, x float64) time.Duration { return time.Duration(float64(d) * x) }

// Takes reports whether a request that comes so long after the stop signal is
// taken; the others are told to come back elsewhere at once.
func (p Plan) Accepts(since time.Duration, stream bool) bool {
	if stream {
		return since < p.StreamsUntil
	}
	return since < p.RequestsUntil
}
