package clock

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// fakeSource is a source whose clocks are set by the test.
type fakeSource struct{ monotonic, wall, boot time.Duration }

func (f *fakeSource) Now() (monotonic, wall time.Duration) { return f.monotonic, f.wall }
func (f *fakeSource) Boot() (time.Duration, error)         { return f.boot, nil }

func (f *fakeSource) advance(d time.Duration) {
	f.monotonic, f.wall, f.boot = f.monotonic+d, f.wall+d, f.boot+d
}
func (f *fakeSource) suspend(d time.Duration) { f.wall, f.boot = f.wall+d, f.boot+d }

func TestSuspendedTimeCounts(t *testing.T) {
	is := is.New(t)
	f := &fakeSource{wall: time.Hour, boot: time.Minute}
	c := NewFromSource(f)
	gaps := make(chan time.Duration, 2)
	c.OnResume(func(gap time.Duration) { gaps <- gap })
	f.advance(time.Second)
	is.Equal(c.Now(), time.Second)
	f.suspend(5 * time.Second)
	is.Equal(c.Now(), 6*time.Second) // on the first reading
	is.Equal(<-gaps, 5*time.Second)
	f.advance(time.Second)
	is.Equal(c.Now(), 7*time.Second)
	is.Equal(len(gaps), 0)
}

func TestWallClockStepIsNoSuspension(t *testing.T) {
	is := is.New(t)
	f := &fakeSource{}
	c := NewFromSource(f)
	c.OnResume(func(time.Duration) { t.Error("OnResume called after a wall clock step") })
	for _, step := range []time.Duration{2 * time.Second, -5 * time.Second} {
		f.wall += step
		f.advance(time.Second)
		c.Now()
	}
	is.Equal(c.Now(), 2*time.Second)
}

// A step back of the wall clock can hide a suspension of the same length;
// CheckSuspension detects it.
func TestSuspensionHiddenByWallClockStepIsDetected(t *testing.T) {
	is := is.New(t)
	f := &fakeSource{}
	c := NewFromSource(f)
	f.boot += 3 * time.Second
	is.Equal(c.Now(), 0*time.Second)
	c.CheckSuspension()
	is.Equal(c.Now(), 3*time.Second)
}

// The clock never goes back, whatever its sources do, and agrees with the boot
// clock after CheckSuspension.
func TestClockIsMonotonic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fakeSource{}
		c := NewFromSource(f)
		last := time.Duration(0)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			d := time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				f.advance(d)
			case 1:
				f.suspend(d)
			case 2:
				f.wall += d
			case 3:
				f.wall -= d
			}
			now := c.Now()
			if now < last {
				t.Fatalf("%v after %v", now, last)
			}
			last = now
		}
		c.CheckSuspension()
		if off := f.boot - c.Now(); off < 0 || off >= minSuspension*30 {
			t.Fatalf("%v off the boot clock", off)
		}
	})
}

func TestDeadlineExpiresDuringSuspension(t *testing.T) {
	is := is.New(t)
	f := &fakeSource{}
	c := NewFromSource(f)
	ctx, cancel := c.WithDeadline(context.Background(), 4*time.Second)
	defer cancel()
	later, cancelLater := c.WithDeadline(context.Background(), 40*time.Second)
	defer cancelLater()
	child, cancelChild := context.WithCancel(ctx)
	defer cancelChild()
	f.suspend(5 * time.Second)
	is.NoErr(ctx.Err())
	c.Now()
	is.True(errors.Is(ctx.Err(), context.DeadlineExceeded))
	<-child.Done()
	is.NoErr(later.Err())
	cancelLater()
	is.True(errors.Is(later.Err(), context.Canceled)) // not context.DeadlineExceeded
	is.Equal(len(c.deadlines), 1)
}

func TestSystemClocksAreReadable(t *testing.T) {
	is := is.New(t)
	c := New()
	before := c.Now()
	c.CheckSuspension()
	is.True(c.Now() >= before)
	_, err := newSystemSource().Boot()
	is.NoErr(err)
}
