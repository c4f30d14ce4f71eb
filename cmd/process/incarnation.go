package process

import "time"

// Range of years whose times fit into an int64 of nanoseconds since 1970.
const (
	firstYear = 1970
	lastYear  = 2261
)

// Incarnation returns the initial incarnation number of a process that starts at the
// given wall-clock time. It is the time in nanoseconds, so that a later start usually has
// a higher number. If the clock is out of range the number is 1; the process raises it
// once peers report the number of its previous incarnation.
func Incarnation(start time.Time) uint64 {
	if year := start.UTC().Year(); year < firstYear || year > lastYear {
		return 1
	}
	return uint64(max(start.UnixNano(), 1))
}
