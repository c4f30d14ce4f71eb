package process

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A clock that is far off must not yield an incarnation so high that no later one can
// exceed it.
func TestIncarnationIsInRange(t *testing.T) {
	is := is.New(t)
	start := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	is.Equal(Incarnation(start), uint64(start.UnixNano()))
	is.True(Incarnation(start.Add(time.Nanosecond)) > Incarnation(start))
	for _, off := range []time.Time{
		time.Unix(0, -1), {}, time.Unix(0, 0), time.Date(2262, 6, 1, 0, 0, 0, 0, time.UTC), time.Date(9999, 1, 1, 0, 0, 0, 0, time.UTC),
	} {
		is.Equal(Incarnation(off), uint64(1))
	}
	is.True(Incarnation(time.Date(2261, 12, 31, 0, 0, 0, 0, time.UTC)) < math.MaxInt64)
}
