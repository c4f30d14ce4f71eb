package limit

import "time"

// reportLifetime is how long a holder's report counts.
const reportLifetime = 3 * time.Second

// Allocator divides a customer's rate over the whole fleet among its holders: the
// entries that receive its requests, in proportion to the demand at each. It is kept by
// the customer's owner; while two instances both act as the owner, slightly more than
// the rate is let through. It is not safe for concurrent use.
type Allocator struct{ holders map[string]report }

type report struct {
	demand     float64 // requests per second
	receivedAt time.Duration
}

// NewAllocator returns an allocator without holders.
func NewAllocator() *Allocator { return &Allocator{holders: make(map[string]report)} }

// Share records a holder's demand in requests per second and returns the rate that it
// may let through: its demand and an equal part of the unused rate, or a proportional
// part of the rate when demand exceeds it.
func (a *Allocator) Share(now time.Duration, holder string, demand, rate float64) float64 {
	a.holders[holder] = report{demand, now}
	total := 0.0
	for h, rep := range a.holders {
		if now-rep.receivedAt > reportLifetime {
			delete(a.holders, h)
			continue
		}
		total += rep.demand
	}
	if total <= rate {
		return demand + (rate-total)/float64(len(a.holders))
	}
	return rate * demand / total
}

// Idle reports whether no holder has reported lately.
func (a *Allocator) Idle(now time.Duration) bool {
	for _, rep := range a.holders {
		if now-rep.receivedAt <= reportLifetime {
			return false
		}
	}
	return true
}
