package advisory

import "time"

// safeLoad is the load that may be offered to a brittle replica by instances that don't know
// of each other's requests, cached for the inputs that it was computed from.
type safeLoad struct {
	slots     int
	tolerated float64
	holdTime  time.Duration
	erlangs   float64 // mean number of slots in use
}

// maxHoldTimeChange is the relative change of the hold time up to which a computed load is
// still used.
const maxHoldTimeChange = 0.1

// forInputs returns the safe load for the given inputs, in erlangs.
func (l *safeLoad) forInputs(slots int, tolerated float64, holdTime time.Duration) float64 {
	change := (holdTime - l.holdTime).Abs()
	if l.slots == slots && l.tolerated == tolerated && float64(change) <= maxHoldTimeChange*float64(l.holdTime) {
		return l.erlangs
	}
	*l = safeLoad{slots: slots, tolerated: tolerated, holdTime: holdTime}
	l.erlangs = largestLoad(slots, affordableRefusals(tolerated)*holdTime.Seconds())
	return l.erlangs
}

const (
	minAffordableRefusals = 0.001 // per second; also for a replica that tolerates none
	manyRefusals          = 10    // per second; from here on single refusals average out
	manyRefusalsShare     = 0.25  // fraction of that many which may be used on average
)

// affordableRefusals returns the mean number of refusals per second that seldom adds up to
// more than the tolerated number within one second. Refusals come in clusters, so where few
// are tolerated the mean has to be far lower.
func affordableRefusals(tolerated float64) float64 {
	mean := manyRefusalsShare * tolerated * min(1, tolerated/manyRefusals)
	return max(mean, minAffordableRefusals)
}

// largestLoad returns the largest load, in erlangs, of which no more than the given load is
// refused by the given number of slots.
func largestLoad(slots int, refused float64) float64 {
	const steps = 30 // of a bisection
	low, high := 0.0, float64(slots)
	for range steps {
		middle := (low + high) / 2
		if middle*blocking(slots, middle) <= refused {
			low = middle
		} else {
			high = middle
		}
	}
	return low
}

// blocking returns the probability that all slots are in use when requests arrive
// independently of each other (Erlang's loss formula).
func blocking(slots int, erlangs float64) float64 {
	b := 1.0
	for n := 1; n <= slots; n++ {
		b = erlangs * b / (float64(n) + erlangs*b)
	}
	return b
}
