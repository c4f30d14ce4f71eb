package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// systemSource reads the clocks of the machine.
type systemSource struct{ start time.Time }

func newSystemSource() Source { return systemSource{start: time.Now()} }

// Now implements Source.
func (s systemSource) Now() (monotonic, wall time.Duration) {
	now := time.Now()
	return now.Sub(s.start), time.Duration(now.UnixNano())
}

// Boot implements Source.
func (systemSource) Boot() (time.Duration, error) {
	var t unix.Timespec
	err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t)
	return time.Duration(t.Nano()), err
}
