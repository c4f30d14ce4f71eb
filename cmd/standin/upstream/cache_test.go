package upstream

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestCacheEventsLateWithGaps(t *testing.T) {
	is := is.New(t)
	c := newCache()
	now := time.Now()
	for i := range cacheMost + 1 {
		is.True(!c.use(fmt.Sprint(i), now))
	}
	is.True(c.use("5", now))  // kept
	is.True(!c.use("0", now)) // dropped for lack of memory, stored anew
	is.Equal(len(c.since(0, now)), 0)
	events := c.since(0, now.Add(eventLag))
	told := map[int]bool{}
	for _, e := range events {
		told[e.Seq] = true
	}
	is.True(told[1] && !told[eventGap] && told[eventGap+1]) // the gap shows
	is.Equal(len(c.since(events[len(events)-1].Seq, now.Add(time.Hour))), 0)
}
