package process

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A clock that is far off makes no number that nobody can go beyond.
func TestIncarnationIsInRange(t *testing.T) {
	is := is.New(t)
	day := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	is.Equal(Incarnation(day), uint64(day.UnixNano()))
	is.True(Incarnation(day.Add(time.Nanosecond)) > Incarnation(day))
	for _, off := range []time.Time{
		time.Unix(0, -1), {}, time.Unix(0, 0), time.Date(2262, 6, 1, 0, 0, 0, 0, time.UTC), time.Date(9999, 1, 1, 0, 0, 0, 0, time.UTC),
	} {
		is.Equal(Incarnation(off), uint64(1))
	}
	is.True(Incarnation(time.Date(2261, 12, 31, 0, 0, 0, 0, time.UTC)) < math.MaxInt64)
}
