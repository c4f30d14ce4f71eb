package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// bootClock reads the machine's own clocks.
type bootClock struct{ began time.Time }

func system() Source { return bootClock{began: time.Now()} }

// Now implements Source.
func (b bootClock) Now() (steady, day time.Duration) {
	now := time.Now()
	return now.Sub(b.began), time.Duration(now.UnixNano())
}

// Boot implements Source.
func (bootClock) Boot() (time.Duration, error) {
	var t unix.Timespec
	err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t)
	return time.Duration(t.Nano()), err
}
