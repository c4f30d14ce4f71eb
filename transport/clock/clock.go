// Package clock provides a monotonic clock that includes the time during which
// the machine was suspended.
//
// The runtime's monotonic clock and its timers stop during a suspension, while
// leases, deadlines, the age of received data and budget windows go on for all
// other machines. A Clock adds the suspended time. It detects a suspension on
// the first reading after it, before any decision uses an old time, because the
// wall clock has moved relative to the monotonic clock. A step of the wall clock
// looks the same, so the length is then taken from the boot clock, which no step
// affects. Reading the boot clock alone would cost a system call per reading.
package clock

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// minDrift is the drift of the wall clock against the monotonic clock from which
	// the boot clock is read; far above the delay between the two readings.
	minDrift = 20 * time.Millisecond
	// minSuspension is the shortest gap between the boot clock and the monotonic
	// clock that counts as a suspension.
	minSuspension = 5 * time.Millisecond
)

// Source provides the readings of the machine's clocks.
type Source interface {
	// Now returns the monotonic clock since an arbitrary origin, and the wall
	// clock as Unix time.
	Now() (monotonic, wall time.Duration)
	// Boot returns the time since an arbitrary origin, including suspensions.
	Boot() (time.Duration, error)
}

// Clock measures the time since its creation, including suspensions. It is safe
// for concurrent use.
type Clock struct {
	source    Source
	suspended atomic.Int64 // total in nanoseconds
	drift     atomic.Int64 // wall clock minus monotonic clock at the last reading of the boot clock, in nanoseconds

	mu             sync.Mutex
	startMonotonic time.Duration // monotonic clock at creation
	startBoot      time.Duration // boot clock at creation
	deadlines      map[*deadline]struct{}
	onResume       []func(gap time.Duration)
}

// New returns a clock of the machine that starts at 0.
func New() *Clock { return NewFromSource(newSystemSource()) }

// NewFromSource returns a clock that reads s.
func NewFromSource(s Source) *Clock {
	monotonic, wall := s.Now()
	boot, _ := s.Boot() // without a boot clock no suspension is detected
	c := &Clock{source: s, startMonotonic: monotonic, startBoot: boot, deadlines: make(map[*deadline]struct{})}
	c.drift.Store(int64(wall - monotonic))
	return c
}

// Now returns the time since the clock was created, including suspensions.
func (c *Clock) Now() time.Duration {
	monotonic, wall := c.source.Now()
	if drift := wall - monotonic - time.Duration(c.drift.Load()); drift > minDrift || drift < -minDrift {
		monotonic = c.detectSuspension()
	}
	return monotonic - c.startMonotonic + time.Duration(c.suspended.Load())
}

// TotalSuspended returns the total time that the machine was suspended since
// the clock was created.
func (c *Clock) TotalSuspended() time.Duration { return time.Duration(c.suspended.Load()) }

// CheckSuspension reads the boot clock. Call it several times a minute to detect
// a suspension that is hidden by a simultaneous step of the wall clock.
func (c *Clock) CheckSuspension() { c.detectSuspension() }

// OnResume registers f, which is called with the suspension's length after each
// suspension, in a goroutine of its own.
func (c *Clock) OnResume(f func(gap time.Duration)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onResume = append(c.onResume, f)
}

// detectSuspension updates the total suspended time from the boot clock, expires
// deadlines, starts the callbacks, and returns the monotonic clock.
func (c *Clock) detectSuspension() time.Duration {
	c.mu.Lock()
	monotonic, wall := c.source.Now()
	c.drift.Store(int64(wall - monotonic))
	boot, err := c.source.Boot()
	suspended := (boot - c.startBoot) - (monotonic - c.startMonotonic)
	gap := suspended - time.Duration(c.suspended.Load())
	if err != nil || gap < minSuspension {
		c.mu.Unlock()
		return monotonic
	}
	c.suspended.Store(int64(suspended))
	expired := c.expiredDeadlines(monotonic - c.startMonotonic + suspended)
	callbacks := c.onResume
	c.mu.Unlock()
	for _, d := range expired {
		d.expire()
	}
	for _, f := range callbacks {
		go f(gap) // the caller that reads the clock may hold a lock
	}
	return monotonic
}

// expiredDeadlines returns the deadlines that have passed. The caller holds mu.
func (c *Clock) expiredDeadlines(now time.Duration) []*deadline {
	var out []*deadline
	for d := range c.deadlines {
		if d.end <= now {
			out = append(out, d)
		}
	}
	return out
}
