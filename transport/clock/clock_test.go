package clock

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// fake is a machine whose clocks a test owns.
type fake struct{ steady, day, boot time.Duration }

func (f *fake) Now() (steady, day time.Duration) { return f.steady, f.day }
func (f *fake) Boot() (time.Duration, error)     { return f.boot, nil }

func (f *fake) runs(d time.Duration)   { f.steady, f.day, f.boot = f.steady+d, f.day+d, f.boot+d }
func (f *fake) sleeps(d time.Duration) { f.day, f.boot = f.day+d, f.boot+d }

func TestTimeAsleepCounts(t *testing.T) {
	is := is.New(t)
	f := &fake{day: time.Hour, boot: time.Minute}
	c := NewFromSource(f)
	gaps := make(chan time.Duration, 2)
	c.OnResume(func(gap time.Duration) { gaps <- gap })
	f.runs(time.Second)
	is.Equal(c.Now(), time.Second)
	f.sleeps(5 * time.Second)
	is.Equal(c.Now(), 6*time.Second) // with the first question
	is.Equal(<-gaps, 5*time.Second)
	f.runs(time.Second)
	is.Equal(c.Now(), 7*time.Second)
	is.Equal(len(gaps), 0)
}

func TestAStepOfTheDayIsNoSleep(t *testing.T) {
	is := is.New(t)
	f := &fake{}
	c := NewFromSource(f)
	c.OnResume(func(time.Duration) { t.Error("woke") })
	for _, step := range []time.Duration{2 * time.Second, -5 * time.Second} {
		f.day += step
		f.runs(time.Second)
		c.Now()
	}
	is.Equal(c.Now(), 2*time.Second)
}

// A step back of the time of day that hides a suspension is found by a look.
func TestASleepBehindAStepIsFound(t *testing.T) {
	is := is.New(t)
	f := &fake{}
	c := NewFromSource(f)
	f.boot += 3 * time.Second
	is.Equal(c.Now(), 0*time.Second)
	c.CheckSuspension()
	is.Equal(c.Now(), 3*time.Second)
}

// Whatever the clocks do, time never goes back, and is the boot clock's after a look.
func TestTimeNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fake{}
		c := NewFromSource(f)
		last := time.Duration(0)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			d := time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				f.runs(d)
			case 1:
				f.sleeps(d)
			case 2:
				f.day += d
			case 3:
				f.day -= d
			}
			now := c.Now()
			if now < last {
				t.Fatalf("%v after %v", now, last)
			}
			last = now
		}
		c.CheckSuspension()
		if off := f.boot - c.Now(); off < 0 || off >= leastGap*30 {
			t.Fatalf("%v off the boot clock", off)
		}
	})
}

func TestADeadlineThatCameAsleepIsOver(t *testing.T) {
	is := is.New(t)
	f := &fake{}
	c := NewFromSource(f)
	ctx, cancel := c.WithDeadline(context.Background(), 4*time.Second)
	defer cancel()
	later, cancelLater := c.WithDeadline(context.Background(), 40*time.Second)
	defer cancelLater()
	child, cancelChild := context.WithCancel(ctx)
	defer cancelChild()
	f.sleeps(5 * time.Second)
	is.NoErr(ctx.Err())
	c.Now()
	is.True(errors.Is(ctx.Err(), context.DeadlineExceeded))
	<-child.Done()
	is.NoErr(later.Err())
	cancelLater()
	is.True(errors.Is(later.Err(), context.Canceled)) // not its deadline
	is.Equal(len(c.deadlines), 1)
}

func TestTheMachinesClocksAreRead(t *testing.T) {
	is := is.New(t)
	c := New()
	before := c.Now()
	c.CheckSuspension()
	is.True(c.Now() >= before)
	_, err := system().Boot()
	is.NoErr(err)
}
