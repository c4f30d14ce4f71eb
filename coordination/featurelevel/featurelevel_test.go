package featurelevel

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const second = time.Second

// A level takes effect once all instances have announced it for SettleTime, and falls
// at once.
func TestALevelRisesSlowlyAndFallsAtOnce(t *testing.T) {
	is := is.New(t)
	tr := &Tracker{}
	is.True(!tr.Observe(0, []uint32{1, 0}))
	is.True(!tr.Observe(second, []uint32{1, 1}))
	is.True(!tr.Observe(3*second, []uint32{1, 1}))
	is.True(tr.Observe(4*second, []uint32{1, 1, 2}))
	is.Equal(tr.InForce(), uint32(1))
	is.True(tr.Observe(5*second, []uint32{1, 0}))
	is.Equal(tr.InForce(), uint32(0))
}

// An instance of an older build that is seen only intermittently must not make the
// level flap.
func TestALevelDoesNotFlap(t *testing.T) {
	is := is.New(t)
	tr := &Tracker{}
	changes := 0
	for now := time.Duration(0); now < 100*second; now += second {
		all := []uint32{1, 1}
		if now%(3*second) == 0 { // seen every third second
			all = append(all, 0)
		}
		if tr.Observe(now, all) {
			changes++
		}
	}
	is.Equal(changes, 0)
}

// For any sequence of announcements, the level in force never exceeds the minimum of
// the live instances, and it rises only after the minimum was that high for SettleTime.
func TestLevelInForceIsTheMinimum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tr := &Tracker{}
		now := time.Duration(0)
		type observation struct {
			at      time.Duration
			minimum uint32
		}
		var history []observation
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 2500).Draw(t, "ms")) * time.Millisecond
			all := rapid.SliceOfN(rapid.Uint32Range(0, 3), 1, 4).Draw(t, "levels")
			history = append(history, observation{now, slices.Min(all)})
			before := tr.InForce()
			tr.Observe(now, all)
			if tr.InForce() > slices.Min(all) {
				t.Fatalf("level %d is in force, live instances have %v", tr.InForce(), all)
			}
			if tr.InForce() <= before {
				continue
			}
			for _, h := range history {
				if h.at > now-SettleTime && h.minimum < tr.InForce() {
					t.Fatalf("%d took effect at %v, but at %v the minimum was %d", tr.InForce(), now, h.at, h.minimum)
				}
			}
		}
	})
}
