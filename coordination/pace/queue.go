package pace

import "time"

// Turns are what replicas get that state how many requests a second they take from
// all instances.
type Limiter interface {
	HasLimits() bool                                               // some replica states a limit
	NextGrant(now time.Duration, life string) (from time.Duration) // when one may get the next request
	Interval(life string) time.Duration                            // between two of its requests; 0: it states none
	Consume(now time.Duration, life string)                        // counts one
}

// Supply is what the replicas that may run a request give of turns.
type Supply struct {
	Next      time.Duration // when the first of them has one
	PerSecond float64       // of all of them
	Limited   bool          // all state limits; else there is no need to wait
}

// Add counts one more replica, the first one with first.
func (s Supply) Add(first bool, free, gap time.Duration) Supply {
	if first {
		return Supply{Next: free, PerSecond: perSecond(gap), Limited: gap > 0}
	}
	s.Next = min(s.Next, free)
	s.PerSecond += perSecond(gap)
	s.Limited = s.Limited && gap > 0
	return s
}

func perSecond(gap time.Duration) float64 {
	if gap <= 0 {
		return 0
	}
	return 1 / gap.Seconds()
}

// Queue is the requests that want turns of a service's replicas: those that wait,
// and those that will once their stages are done. The most urgent go first, then
// those that came first. It is not safe for concurrent use.
type Queue struct {
	rows map[uint64]*waiting
}

type waiting struct {
	rank int
	now  bool // it can use a turn now
}

// NewQueue returns an empty queue.
func NewQueue() *Queue { return &Queue{rows: make(map[uint64]*waiting)} }

// Join adds a request; ids rise as requests come.
func (q *Queue) Add(id uint64, rank int) { q.rows[id] = &waiting{rank: rank} }

// Ready notes that a request can use a turn now.
func (q *Queue) MarkReady(id uint64) {
	if w := q.rows[id]; w != nil {
		w.now = true
	}
}

// Leave takes a request out.
func (q *Queue) Remove(id uint64) { delete(q.rows, id) }

func (w *waiting) before(id uint64, other *waiting, otherID uint64) bool {
	return w.rank < other.rank || w.rank == other.rank && id < otherID
}

// First reports whether no other request that can use a turn now goes before one.
func (q *Queue) IsFirst(id uint64) bool {
	own := q.rows[id]
	if own == nil {
		return true
	}
	for other, w := range q.rows {
		if w.now && w.before(other, own, id) {
			return false
		}
	}
	return true
}

// Wait returns how long a request of a rank waits for its turn: all that go before
// it have theirs first, those included whose stages are not done yet.
func (q *Queue) ExpectedWait(now time.Duration, id uint64, rank int, s Supply) time.Duration {
	if !s.Limited {
		return 0
	}
	own := &waiting{rank: rank}
	ahead := 0
	for other, w := range q.rows {
		if other != id && w.before(other, own, id) {
			ahead++
		}
	}
	return max(s.Next-now, 0) + time.Duration(float64(ahead)/s.PerSecond*float64(time.Second))
}
