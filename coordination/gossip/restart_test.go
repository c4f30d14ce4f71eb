package gossip

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

// restart replaces an instance with a new one of the same name that takes the given
// incarnation from its clock.
func (f *fleet) restart(name string, incarnation uint64) {
	f.views[name] = New(Instance{Name: name, Incarnation: incarnation, HeartbeatAddress: name}, DefaultOptions())
	f.views[name].Merge(f.now, Instance{Name: "i000", Incarnation: 1, HeartbeatAddress: "i000"})
}

// aliveCountOf returns how many other instances consider the current incarnation of an
// instance alive.
func (f *fleet) aliveCountOf(name string) int {
	n := 0
	for other, v := range f.views {
		if other != name && v.IsAlive(f.now, name, f.views[name].Self().Incarnation) {
			n++
		}
	}
	return n
}

// convergenceTime runs the fleet until all other instances consider the current
// incarnation of an instance alive, and returns how long that took.
func (f *fleet) convergenceTime(name string) time.Duration {
	began := f.now
	for f.aliveCountOf(name) < len(f.views)-1 && f.now-began < time.Minute {
		f.run(round)
	}
	return f.now - began
}

// An instance that starts again after its clock went back gets an incarnation below
// its previous one. It must be seen by all nearly as soon as one whose clock advanced.
func TestRestartAfterTheClockWentBackIsDiscovered(t *testing.T) {
	for _, step := range []uint64{1, 100, math.MaxInt64 - 10} {
		for _, instances := range []int{2, 30} {
			is := is.New(t)
			restartWith := func(incarnation uint64) time.Duration {
				f := newFleet(instances)
				f.restart("i001", 1+step)
				f.convergenceTime("i001")
				f.restart("i001", incarnation)
				return f.convergenceTime("i001")
			}
			is.True(restartWith(1) <= restartWith(2+step)+time.Second)
		}
	}
}

// Two starts at the same wall-clock time must give two incarnations.
func TestRestartAtTheSameTimeIsDiscovered(t *testing.T) {
	is := is.New(t)
	f := newFleet(30)
	f.run(20 * time.Second)
	f.restart("i001", 1)
	f.run(5 * time.Second)
	is.Equal(f.aliveCountOf("i001"), 29)
}

// An entry under the own name with the maximum incarnation can't be superseded and is
// ignored.
func TestMaximumIncarnationIsNotExceeded(t *testing.T) {
	is := is.New(t)
	v := New(Instance{Name: "a", Incarnation: 7}, DefaultOptions())
	v.Merge(0, Instance{Name: "a", Incarnation: math.MaxUint64, HeartbeatCount: 9})
	is.Equal(v.Self().Incarnation, uint64(7))
}
