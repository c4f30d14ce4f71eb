package pace

import "time"

// Limiter schedules the send grants of replicas with rate limits.
type Limiter interface {
	HasLimits() bool                                                      // whether any replica has a limit
	NextGrant(now time.Duration, incarnation string) (from time.Duration) // earliest time of the next request
	Interval(incarnation string) time.Duration                            // time between two requests; 0: no limit
	Consume(now time.Duration, incarnation string)                        // counts one request
}

// Supply is the rate of grants from the replicas that may run a request.
type Supply struct {
	Next      time.Duration // earliest grant of any replica
	PerSecond float64       // grants of all replicas together
	Limited   bool          // all replicas have limits; otherwise no request has to wait
}

// Add adds a replica with its next grant and the interval of its grants; first is true for
// the first replica.
func (s Supply) Add(first bool, nextGrant, interval time.Duration) Supply {
	if first {
		return Supply{Next: nextGrant, PerSecond: perSecond(interval), Limited: interval > 0}
	}
	s.Next = min(s.Next, nextGrant)
	s.PerSecond += perSecond(interval)
	s.Limited = s.Limited && interval > 0
	return s
}

func perSecond(interval time.Duration) float64 {
	if interval <= 0 {
		return 0
	}
	return 1 / interval.Seconds()
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
	return max(s.Next-now, 0) + time.Duration(float64(ahead)/s.PerSecond*float64(time.Second))
}
