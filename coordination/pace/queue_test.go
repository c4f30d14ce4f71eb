package pace

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
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
	is.Equal(s.Next, 3*time.Second)
	is.Equal(s.PerSecond, 2.0)
	is.True(s.Limited)
	q := NewQueue()
	is.Equal(q.ExpectedWait(2*time.Second, 1, 1, s), time.Second)
	for id := range uint64(4) {
		q.Add(id, 1)
	}
	q.Add(4, 3)
	is.Equal(q.ExpectedWait(2*time.Second, 5, 1, s), 4*time.Second) // four ahead: at 3, 4, 5 and 5 s
	is.Equal(q.ExpectedWait(2*time.Second, 5, 0, s), time.Second)
	is.Equal(q.ExpectedWait(2*time.Second, 5, 0, s.Add(false, 0, 0)), time.Duration(0)) // one replica has no limit
}

// Guards against refusals long after requests were let in: grants that fall together, or at
// replicas that begin late, are not spread evenly over a second.
func TestExpectedWaitKnowsWhenGrantsFall(t *testing.T) {
	is := is.New(t)
	together := Supply{}.Add(true, time.Second, time.Second).Add(false, time.Second, time.Second)
	late := Supply{}.Add(true, time.Second, time.Second).Add(false, 5*time.Second, time.Second)
	q := NewQueue()
	for ahead, want := range []struct{ together, late time.Duration }{{1, 1}, {1, 2}, {2, 3}, {2, 4}, {3, 5}, {3, 5}, {4, 6}} {
		is.Equal(q.ExpectedWait(0, 100, 0, together), want.together*time.Second)
		is.Equal(q.ExpectedWait(0, 100, 0, late), want.late*time.Second)
		q.Add(uint64(ahead), 0)
	}
}

// The grant that is found is the one that counting one by one finds.
func TestGrantsAreFoundLikeOneByOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s Supply
		var replicas []replicaGrants
		for i := range rapid.IntRange(1, 6).Draw(t, "replicas") {
			r := replicaGrants{time.Duration(rapid.IntRange(0, 3000).Draw(t, "next")) * time.Millisecond, time.Duration(rapid.IntRange(1, 2000).Draw(t, "interval")) * time.Millisecond}
			s = s.Add(i == 0, r.next, r.interval)
			replicas = append(replicas, r)
		}
		ahead := rapid.IntRange(0, 40).Draw(t, "ahead")
		at := time.Duration(0)
		for range ahead + 1 {
			first := 0
			for i, r := range replicas {
				if r.next < replicas[first].next {
					first = i
				}
			}
			at = replicas[first].next
			replicas[first].next += replicas[first].interval
		}
		if got := s.grant(ahead); got != at {
			t.Fatalf("%v, one by one %v", got, at)
		}
	})
}
