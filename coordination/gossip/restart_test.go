package gossip

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

// startAgain replaces an instance by one of the same name that has just started,
// whose clock's incarnation is that.
func (f *fleet) startAgain(name string, incarnation uint64) {
	f.views[name] = New(Instance{Name: name, Incarnation: incarnation, HeartbeatAddress: name}, DefaultOptions())
	f.views[name].Merge(f.now, Instance{Name: "i000", Incarnation: 1, HeartbeatAddress: "i000"})
}

// heard is how many of the others hear of an instance as it is now.
func (f *fleet) heard(name string) int {
	n := 0
	for other, v := range f.views {
		if other != name && v.IsAlive(f.now, name, f.views[name].Self().Incarnation) {
			n++
		}
	}
	return n
}

// until returns how long it takes until all others hear of an instance as it is.
func (f *fleet) until(name string) time.Duration {
	began := f.now
	for f.heard(name) < len(f.views)-1 && f.now-began < time.Minute {
		f.run(round)
	}
	return f.now - began
}

// An instance that started while its clock was ahead, and starts again once it has
// gone back, is heard of by all nearly as soon as one whose clock went on.
func TestAStartAfterTheClockWentBackIsHeardOf(t *testing.T) {
	for _, step := range []uint64{1, 100, math.MaxInt64 - 10} {
		for _, instances := range []int{2, 30} {
			is := is.New(t)
			again := func(incarnation uint64) time.Duration {
				f := newFleet(instances)
				f.startAgain("i001", 1+step)
				f.until("i001")
				f.startAgain("i001", incarnation)
				return f.until("i001")
			}
			is.True(again(1) <= again(2+step)+time.Second)
		}
	}
}

// Two starts at the same time of day are two lives too.
func TestAStartAtTheSameTimeOfDayIsHeardOf(t *testing.T) {
	is := is.New(t)
	f := newFleet(30)
	f.run(20 * time.Second)
	f.startAgain("i001", 1)
	f.run(5 * time.Second)
	is.Equal(f.heard("i001"), 29)
}

// Who is told nonsense of itself goes on as it is.
func TestNobodyCanGoBeyondTheLastIncarnation(t *testing.T) {
	is := is.New(t)
	v := New(Instance{Name: "a", Incarnation: 7}, DefaultOptions())
	v.Merge(0, Instance{Name: "a", Incarnation: math.MaxUint64, HeartbeatCount: 9})
	is.Equal(v.Self().Incarnation, uint64(7))
}
