package slotlease

import "time"

// livePeak tracks how many instances were alive at the most lately. After a partition each
// side sees only a part of them.
type livePeak struct {
	since             time.Duration // when the current period began
	current, previous int           // largest number in the current and in the previous period
}

// peakPeriod is the shortest time for which a number is remembered: instances that are gone
// for longer don't come back with leases of their own.
const peakPeriod = 15 * time.Second

// observe notes the number of instances that are alive, and returns it as a fraction of the
// largest number of late.
func (p *livePeak) observe(now time.Duration, live int) float64 {
	if now-p.since >= peakPeriod {
		p.since, p.previous, p.current = now, p.current, 0
	}
	p.current = max(p.current, live)
	return float64(live) / float64(max(p.current, p.previous, 1))
}
