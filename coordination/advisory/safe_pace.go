package advisory

import "time"

// safePace is the time between two requests of each instance to a brittle replica at which
// the replica refuses few enough, though the instances don't know of each other's requests. It
// is cached for the inputs that it was computed from.
type safePace struct {
	senders   int
	slots     int
	tolerated float64
	holdTime  time.Duration
	interval  time.Duration
}

// maxHoldTimeChange is the relative change of the hold time up to which a computed interval is
// still used.
const maxHoldTimeChange = 0.1

// intervalFor returns the interval for the given inputs.
func (p *safePace) intervalFor(senders, slots int, tolerated float64, holdTime time.Duration) time.Duration {
	change := (holdTime - p.holdTime).Abs()
	if p.senders == senders && p.slots == slots && p.tolerated == tolerated && float64(change) <= maxHoldTimeChange*float64(p.holdTime) {
		return p.interval
	}
	*p = safePace{senders: senders, slots: slots, tolerated: tolerated, holdTime: holdTime}
	pause := 1 / largestIntensity(senders, slots, affordableRefusals(tolerated)*holdTime.Seconds())
	p.interval = boundedInterval(holdTime.Seconds() * (1 + pause))
	return p.interval
}

// maxInterval is an upper bound of the time between two requests to a replica.
const maxInterval = time.Hour

func boundedInterval(seconds float64) time.Duration {
	return time.Duration(min(seconds, maxInterval.Seconds()) * float64(time.Second))
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

const (
	maxIntensity   = 1000 // a sender sends the next request almost at once
	bisectionSteps = 60
)

// largestIntensity returns the largest number of requests that a sender may begin in the time
// that one takes, counted from the end of its last one, so that of all senders' requests no
// more than the given number are refused in that time.
func largestIntensity(senders, slots int, refused float64) float64 {
	low, high := 0.0, float64(maxIntensity)
	for range bisectionSteps {
		middle := (low + high) / 2
		if float64(senders-slots)*middle*blocking(senders, slots, middle) <= refused {
			low = middle
		} else {
			high = middle
		}
	}
	return low
}

// blocking returns the probability that all slots are in use by senders that have one request
// each at a time and don't know of each other (Engset's loss formula).
func blocking(senders, slots int, intensity float64) float64 {
	b := 1.0
	for n := 1; n <= slots; n++ {
		arriving := float64(senders-n+1) * intensity * b
		b = arriving / (float64(n) + arriving)
	}
	return b
}
