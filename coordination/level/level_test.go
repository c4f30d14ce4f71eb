package level

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const second = time.Second

// A level takes force once all have told it for a while, and ends at once.
func TestALevelRisesSlowlyAndFallsAtOnce(t *testing.T) {
	is := is.New(t)
	f := &Tracker{}
	is.True(!f.Observe(0, []uint32{1, 0}))
	is.True(!f.Observe(second, []uint32{1, 1}))
	is.True(!f.Observe(3*second, []uint32{1, 1}))
	is.True(f.Observe(4*second, []uint32{1, 1, 2}))
	is.Equal(f.InForce(), uint32(1))
	is.True(f.Observe(5*second, []uint32{1, 0}))
	is.Equal(f.InForce(), uint32(0))
}

// One that is away for a moment and comes back older does not let it flap.
func TestALevelDoesNotFlap(t *testing.T) {
	is := is.New(t)
	f := &Tracker{}
	changes := 0
	for now := time.Duration(0); now < 100*second; now += second {
		all := []uint32{1, 1}
		if now%(3*second) == 0 { // heard of in each third second
			all = append(all, 0)
		}
		if f.Observe(now, all) {
			changes++
		}
	}
	is.Equal(changes, 0)
}

// Whatever is heard: what is in force was told by all at that moment, and had
// been for the whole time to settle.
func TestTheLevelInForceIsTheLeast(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &Tracker{}
		now := time.Duration(0)
		type heard struct {
			at    time.Duration
			least uint32
		}
		var history []heard
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 2500).Draw(t, "ms")) * time.Millisecond
			all := rapid.SliceOfN(rapid.Uint32Range(0, 3), 1, 4).Draw(t, "levels")
			history = append(history, heard{now, slices.Min(all)})
			before := f.InForce()
			f.Observe(now, all)
			if f.InForce() > slices.Min(all) {
				t.Fatalf("%d is in force, %v are alive", f.InForce(), all)
			}
			if f.InForce() <= before {
				continue
			}
			for _, h := range history {
				if h.at > now-SettleTime && h.least < f.InForce() {
					t.Fatalf("%d took force at %v, at %v the least was %d", f.InForce(), now, h.at, h.least)
				}
			}
		}
	})
}
