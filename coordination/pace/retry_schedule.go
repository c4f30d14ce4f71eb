package pace

import "time"

// RetrySchedule assigns retry times to callers that got no grant. It spaces them at the
// rate at which this instance gets grants: with a common retry time all callers but one
// would be denied again. It is not safe for concurrent use.
type RetrySchedule struct {
	next map[string]time.Duration // by service: start of the next free slot
}

// NewRetrySchedule returns an empty schedule.
func NewRetrySchedule() *RetrySchedule { return &RetrySchedule{next: make(map[string]time.Duration)} }

// Reserve returns when a caller may retry a service whose next grant is due at
// firstGrant and whose replicas grant perSecond requests to all instances together.
// random, from 0 to 1, is the position within the slot, so that instances don't all
// choose the same times.
func (s *RetrySchedule) Reserve(service string, firstGrant time.Duration, perSecond float64, instances int, random float64) time.Duration {
	at := max(s.next[service], firstGrant)
	interval := float64(max(instances, 1)) / max(perSecond, minPerSecond) * float64(time.Second)
	s.next[service] = at + time.Duration(interval)
	return at + time.Duration(random*interval)
}

// Expire removes reservations that have passed.
func (s *RetrySchedule) Expire(now time.Duration) {
	for service, next := range s.next {
		if next < now {
			delete(s.next, service)
		}
	}
}

// minPerSecond is the lowest grant rate that is assumed, in requests per second. It
// bounds how far ahead a reservation may be.
const minPerSecond = 0.1
