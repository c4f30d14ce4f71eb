package pace

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestUrgentRequestsGoFirst(t *testing.T) {
	is := is.New(t)
	q := NewQueue()
	q.Join(1, 2)
	q.Join(2, 0)
	q.Join(3, 2)
	q.Ready(1)
	q.Ready(3)
	is.True(q.First(1)) // the urgent one's stages are not done
	is.True(!q.First(3))
	q.Ready(2)
	is.True(q.First(2) && !q.First(1))
	q.Leave(2)
	q.Leave(1)
	is.True(q.First(3))
	is.True(q.First(9)) // who is not in it waits for nobody
}

// What waits is foretold, so that it is refused at once where that is too long.
func TestAWaitIsForetold(t *testing.T) {
	is := is.New(t)
	s := Supply{}.Add(true, 3*time.Second, time.Second).Add(false, 5*time.Second, time.Second)
	is.Equal(s, Supply{Next: 3 * time.Second, PerSecond: 2, Limited: true})
	q := NewQueue()
	is.Equal(q.Wait(2*time.Second, 1, 1, s), time.Second)
	for id := range uint64(4) {
		q.Join(id, 1)
	}
	q.Join(4, 3)
	is.Equal(q.Wait(2*time.Second, 5, 1, s), 3*time.Second)
	is.Equal(q.Wait(2*time.Second, 5, 0, s), time.Second)
	is.Equal(q.Wait(2*time.Second, 5, 0, s.Add(false, 0, 0)), time.Duration(0)) // one states no limit
}
