package pace

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestUrgentRequestsGoFirst(t *testing.T) {
	is := is.New(t)
	q := NewQueue()
	q.Add(1, 2)
	q.Add(2, 0)
	q.Add(3, 2)
	q.MarkReady(1)
	q.MarkReady(3)
	is.True(q.IsFirst(1)) // the stages of the urgent request are still running
	is.True(!q.IsFirst(3))
	q.MarkReady(2)
	is.True(q.IsFirst(2) && !q.IsFirst(1))
	q.Remove(2)
	q.Remove(1)
	is.True(q.IsFirst(3))
	is.True(q.IsFirst(9)) // a request that isn't queued waits for no other
}

// The expected wait is computed in advance, so that a request is refused at once when
// it would wait too long.
func TestExpectedWait(t *testing.T) {
	is := is.New(t)
	s := Supply{}.Add(true, 3*time.Second, time.Second).Add(false, 5*time.Second, time.Second)
	is.Equal(s, Supply{Next: 3 * time.Second, PerSecond: 2, Limited: true})
	q := NewQueue()
	is.Equal(q.ExpectedWait(2*time.Second, 1, 1, s), time.Second)
	for id := range uint64(4) {
		q.Add(id, 1)
	}
	q.Add(4, 3)
	is.Equal(q.ExpectedWait(2*time.Second, 5, 1, s), 3*time.Second)
	is.Equal(q.ExpectedWait(2*time.Second, 5, 0, s), time.Second)
	is.Equal(q.ExpectedWait(2*time.Second, 5, 0, s.Add(false, 0, 0)), time.Duration(0)) // one replica has no limit
}
