package upstream

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestCacheEventsAreDelayedWithGaps(t *testing.T) {
	is := is.New(t)
	c := newPrefixCache()
	now := time.Now()
	for i := range maxCachedPrefixes + 1 {
		is.True(!c.lookupOrStore(fmt.Sprint(i), now))
	}
	is.True(c.lookupOrStore("5", now))  // still cached
	is.True(!c.lookupOrStore("0", now)) // evicted because the cache was full, stored again
	is.Equal(len(c.eventsAfter(0, now)), 0)
	events := c.eventsAfter(0, now.Add(eventDelay))
	reported := map[int]bool{}
	for _, e := range events {
		reported[e.Seq] = true
	}
	// The gap is visible in the sequence numbers.
	is.True(reported[1] && !reported[eventGapInterval] && reported[eventGapInterval+1])
	is.Equal(len(c.eventsAfter(events[len(events)-1].Seq, now.Add(time.Hour))), 0)
}
