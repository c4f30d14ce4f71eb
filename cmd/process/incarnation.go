package process

import "time"

// The years between which a time of day can be told in nanoseconds since 1970.
const (
	firstYear = 1970
	lastYear  = 2261
)

// Incarnation returns the number by which a start begins: the time of day, so that
// a later start has mostly a higher one. A clock that is out of range begins at 1;
// peers tell of the last life, and the start goes beyond it.
func Incarnation(day time.Time) uint64 {
	if year := day.UTC().Year(); year < firstYear || year > lastYear {
		return 1
	}
	return uint64(max(day.UnixNano(), 1))
}
