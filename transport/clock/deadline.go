package clock

import (
	"context"
	"maps"
	"slices"
	"sync/atomic"
	"time"
)

// deadline is a context that ends at a time of a Clock, even if that time passes
// while the machine is suspended.
type deadline struct {
	context.Context
	cancel  context.CancelFunc
	clock   *Clock
	end     time.Duration
	expired atomic.Bool
}

// WithDeadline returns a context that ends when the clock reaches end.
func (c *Clock) WithDeadline(parent context.Context, end time.Duration) (context.Context, context.CancelFunc) {
	inner, cancel := context.WithCancel(parent)
	d := &deadline{Context: inner, cancel: cancel, clock: c, end: end}
	c.mu.Lock()
	c.deadlines[d] = struct{}{}
	c.mu.Unlock()
	timer := time.AfterFunc(end-c.Now(), d.expire)
	return d, func() {
		timer.Stop()
		c.mu.Lock()
		delete(c.deadlines, d)
		c.mu.Unlock()
		cancel()
	}
}

func (d *deadline) expire() {
	if d.Context.Err() != nil {
		return
	}
	d.expired.Store(true)
	d.cancel()
}

// Deadline implements context.Context.
func (d *deadline) Deadline() (time.Time, bool) {
	return time.Now().Add(d.end - d.clock.Now()), true
}

// Err implements context.Context.
func (d *deadline) Err() error {
	err := d.Context.Err()
	if err != nil && d.expired.Load() {
		return context.DeadlineExceeded
	}
	return err
}

// ExpireDeadlines ends all contexts of WithDeadline as if their ends had come.
func (c *Clock) ExpireDeadlines() {
	c.mu.Lock()
	deadlines := slices.Collect(maps.Keys(c.deadlines))
	c.mu.Unlock()
	for _, d := range deadlines {
		d.expire()
	}
}
