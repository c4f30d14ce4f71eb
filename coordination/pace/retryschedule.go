package pace

import "time"

// Promises are the moments at which callers that had no turn are told to come back.
// Each gets one of its own, as far apart as turns come to this instance: told the
// same moment, all but one would come for nothing. It is not safe for concurrent use.
type RetrySchedule struct {
	next map[string]time.Duration // by service
}

// NewPromises returns none.
func NewRetrySchedule() *RetrySchedule { return &RetrySchedule{next: make(map[string]time.Duration)} }

// Promise returns when a caller may come back to a service whose first turn is free
// at a time, and whose replicas give all instances so many turns a second; random,
// from 0 to 1, is where between two of these, so that instances don't all name the
// same moments.
func (p *RetrySchedule) Reserve(service string, first time.Duration, perSecond float64, instances int, random float64) time.Duration {
	at := max(p.next[service], first)
	each := float64(max(instances, 1)) / max(perSecond, leastPerSecond) * float64(time.Second)
	p.next[service] = at + time.Duration(each)
	return at + time.Duration(random*each)
}

// Forget drops the moments that have passed.
func (p *RetrySchedule) Prune(now time.Duration) {
	for service, next := range p.next {
		if next < now {
			delete(p.next, service)
		}
	}
}

// leastPerSecond bounds how far away a promise is.
const leastPerSecond = 0.1
