package pace

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Callers of several instances that got no grant retry one after the other, no faster
// than grants are issued.
func TestRetriesMatchTheGrantRate(t *testing.T) {
	is := is.New(t)
	const instances, perSecond = 6, 3.0
	var all []time.Duration
	for i := range instances {
		schedule := NewRetrySchedule()
		for range 10 {
			all = append(all, schedule.Reserve("s", time.Second, perSecond, instances, float64(i)/instances))
		}
	}
	countBetween := func(from, to time.Duration) (n int) {
		for _, at := range all {
			if at >= from && at < to {
				n++
			}
		}
		return n
	}
	is.Equal(countBetween(0, time.Second), 0)
	for from := time.Second; from < 21*time.Second; from += 2 * time.Second {
		is.Equal(countBetween(from, from+2*time.Second), 2*int(perSecond))
	}
	schedule := NewRetrySchedule()
	schedule.Reserve("s", time.Second, perSecond, instances, 0)
	schedule.Expire(4 * time.Second)
	is.Equal(len(schedule.next), 0)
	is.Equal(schedule.Reserve("s", 9*time.Second, perSecond, instances, 0), 9*time.Second)
}
