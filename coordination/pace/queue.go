package pace

import "time"

// Never is a time that is not reached.
const Never = time.Duration(1<<63 - 1)

// Limiter schedules the send grants of replicas with rate limits.
type Limiter interface {
	HasLimits() bool                                                      // whether any replica has a limit
	NextGrant(now time.Duration, incarnation string) (from time.Duration) // earliest time of the next request
	Interval(incarnation string) time.Duration                            // time between two requests; 0: no limit
	Consume(now time.Duration, incarnation string)                        // counts one request
}

// Supply is the grants of the replicas that may run a request.
type Supply struct {
	Next      time.Duration // earliest grant of any replica
	PerSecond float64       // grants of all replicas together
	Limited   bool          // all replicas have limits; otherwise no request has to wait

	replicas []replicaGrants
}

// replicaGrants are the grants of one replica: one at next, and one after each interval.
type replicaGrants struct{ next, interval time.Duration }

// Add adds a replica with its next grant and the interval of its grants; first is true for
// the first replica.
func (s Supply) Add(first bool, nextGrant, interval time.Duration) Supply {
	if first {
		s = Supply{Next: nextGrant, Limited: true}
	}
	s.Next = min(s.Next, nextGrant)
	s.Limited = s.Limited && interval > 0
	if interval > 0 {
		s.PerSecond += 1 / interval.Seconds()
		s.replicas = append(s.replicas, replicaGrants{nextGrant, interval})
	}
	return s
}

// grantsUntil returns how many grants there are up to a time.
func (s *Supply) grantsUntil(at time.Duration) int {
	n := 0
	for _, r := range s.replicas {
		if at >= r.next {
			n += 1 + int((at-r.next)/r.interval)
		}
	}
	return n
}

// grant returns the time of the grant that follows the given number of others. The replicas'
// grants may fall together or far apart, so their mean rate does not tell.
func (s *Supply) grant(ahead int) time.Duration {
	latest := Never
	for _, r := range s.replicas {
		latest = min(latest, r.next+time.Duration(ahead)*r.interval)
	}
	from := s.Next
	for from < latest {
		middle := from + (latest-from)/2
		if s.grantsUntil(middle) > ahead {
			latest = middle
		} else {
			from = middle + 1
		}
	}
	return latest
}

// Queue holds the requests that need grants from a service's replicas: those waiting
// for one, and those whose stages are still running. It orders them by rank, the most
// urgent first, then by arrival. It is not safe for concurrent use.
type Queue struct {
	waiters map[uint64]*waiter
}

type waiter struct {
	rank  int
	ready bool // the request can use a grant now
}

// NewQueue returns an empty queue.
func NewQueue() *Queue { return &Queue{waiters: make(map[uint64]*waiter)} }

// Add adds a request; ids increase in order of arrival.
func (q *Queue) Add(id uint64, rank int) { q.waiters[id] = &waiter{rank: rank} }

// MarkReady records that a request can use a grant now.
func (q *Queue) MarkReady(id uint64) {
	if w := q.waiters[id]; w != nil {
		w.ready = true
	}
}

// Remove removes a request.
func (q *Queue) Remove(id uint64) { delete(q.waiters, id) }

func (w *waiter) before(id uint64, other *waiter, otherID uint64) bool {
	return w.rank < other.rank || w.rank == other.rank && id < otherID
}

// IsFirst reports whether no other ready request precedes the given one.
func (q *Queue) IsFirst(id uint64) bool {
	own := q.waiters[id]
	if own == nil {
		return true
	}
	for other, w := range q.waiters {
		if w.ready && w.before(other, own, id) {
			return false
		}
	}
	return true
}

// ExpectedWait returns how long a request will wait for a grant. All requests that
// precede it are served first, including those whose stages are still running.
func (q *Queue) ExpectedWait(now time.Duration, id uint64, rank int, s Supply) time.Duration {
	if !s.Limited {
		return 0
	}
	own := &waiter{rank: rank}
	ahead := 0
	for other, w := range q.waiters {
		if other != id && w.before(other, own, id) {
			ahead++
		}
	}
	return max(s.grant(ahead)-now, 0)
}
