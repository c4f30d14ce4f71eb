// Package clock tells time that counts while the machine is suspended.
//
// The runtime's steady clock stands still then, and with it all timers; leases,
// deadlines, ages of what is believed and windows of budgets run on for
// everybody else. A Clock adds the time asleep. It notices a suspension with the
// first question after it, before anything is decided by an old time: the time
// of day has moved against the steady clock. A step of the time of day looks the
// same, so the boot clock, which no step moves, says how long it was; it alone
// would cost a system call for each question.
package clock

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	leastDrift = 20 * time.Millisecond // of the time of day against the steady clock, from which the boot clock is asked, far above what is read at two moments
	leastGap   = 5 * time.Millisecond  // of the boot clock, that counts as a suspension
)

// Source is what a Clock reads.
type Source interface {
	// Now returns the steady clock since some moment, and the time of day as a
	// Unix time.
	Now() (steady, day time.Duration)
	// Boot returns the time since some moment, time asleep included.
	Boot() (time.Duration, error)
}

// Clock is safe for concurrent use.
type Clock struct {
	source Source
	asleep atomic.Int64 // nanoseconds, so far
	drift  atomic.Int64 // of the time of day against the steady clock at the last look

	mu        sync.Mutex
	steady    time.Duration // when it was made
	boot      time.Duration // the same
	deadlines map[*deadline]struct{}
	woke      []func(gap time.Duration)
}

// New returns a clock that begins at 0.
func New() *Clock { return NewFromSource(system()) }

// From returns a clock that reads another source.
func NewFromSource(s Source) *Clock {
	steady, day := s.Now()
	boot, _ := s.Boot() // where there is none, nothing is ever asleep
	c := &Clock{source: s, steady: steady, boot: boot, deadlines: make(map[*deadline]struct{})}
	c.drift.Store(int64(day - steady))
	return c
}

// Now is the time since the clock was made, time asleep included.
func (c *Clock) Now() time.Duration {
	steady, day := c.source.Now()
	if drift := day - steady - time.Duration(c.drift.Load()); drift > leastDrift || drift < -leastDrift {
		steady = c.look()
	}
	return steady - c.steady + time.Duration(c.asleep.Load())
}

// Asleep is for how long the machine was suspended since the clock was made.
func (c *Clock) TotalSuspended() time.Duration { return time.Duration(c.asleep.Load()) }

// Look asks the boot clock; call it some times a minute, for a suspension that a
// step of the time of day has hidden.
func (c *Clock) CheckSuspension() { c.look() }

// OnWake has f called after each suspension, with its length, by a goroutine of
// its own.
func (c *Clock) OnResume(f func(gap time.Duration)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.woke = append(c.woke, f)
}

// look takes in how long the machine was asleep, and returns the steady clock.
func (c *Clock) look() time.Duration {
	c.mu.Lock()
	steady, day := c.source.Now()
	c.drift.Store(int64(day - steady))
	boot, err := c.source.Boot()
	asleep := (boot - c.boot) - (steady - c.steady)
	gap := asleep - time.Duration(c.asleep.Load())
	if err != nil || gap < leastGap {
		c.mu.Unlock()
		return steady
	}
	c.asleep.Store(int64(asleep))
	over := c.takeOver(steady - c.steady + asleep)
	woke := c.woke
	c.mu.Unlock()
	for _, d := range over {
		d.expire()
	}
	for _, f := range woke {
		go f(gap) // who asks for the time may hold a lock
	}
	return steady
}

// takeOver returns the deadlines that are over. It needs mu.
func (c *Clock) takeOver(now time.Duration) []*deadline {
	var out []*deadline
	for d := range c.deadlines {
		if d.end <= now {
			out = append(out, d)
		}
	}
	return out
}
