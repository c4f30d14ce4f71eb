package readers

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"quinceroad/coordination/gossip"
)

// watchEnds returns when the watches of readers end in a time, each after a change that they saw
// at about the same moment, and how many there are of each. away is a reader that ends none.
func watchEnds(random *rand.Rand, count, away int, within, longest, until time.Duration) (ends []time.Duration) {
	for rank := range count {
		turn := Turn{Rank: rank, Count: count}
		lastChange := time.Duration(random.Int64N(int64(20 * time.Millisecond)))
		for now := lastChange; now < until; {
			now += turn.WatchTime(now, lastChange, within, longest) + time.Duration(random.Int64N(int64(5*time.Millisecond)))
			if rank != away {
				ends = append(ends, now)
			}
		}
	}
	slices.Sort(ends)
	return ends
}

// CONFIG: connections may fall silent at any moment, and the next watch that ends shows what was
// missed. Whatever the number of readers, one ends within the span, also while one is away, and
// all together make hardly more calls than one alone would.
func TestSomeWatchEndsWithinTheSpan(t *testing.T) {
	const (
		within  = 1300 * time.Millisecond
		longest = 8 * time.Second
		until   = 5 * time.Minute
		slack   = 130 * time.Millisecond // between the readers' views of the change, and a watch left out
	)
	for _, count := range []int{1, 2, 3, 4, 9, 50} {
		for seed := range uint64(5) {
			is := is.New(t)
			random := rand.New(rand.NewPCG(seed, uint64(count)))
			away := -1
			if count > 1 {
				away = random.IntN(count)
			}
			ends := watchEnds(random, count, away, within, longest, until)
			for i := 1; i < len(ends) && ends[i] < until; i++ {
				if gap := ends[i] - ends[i-1]; gap > within+slack {
					t.Errorf("%d readers, seed %d: no watch ends for %v", count, seed, gap)
				}
			}
			perSecond := float64(len(ends)) / until.Seconds()
			is.True(perSecond <= 2.2/within.Seconds() || float64(count)/longest.Seconds() >= 0.9*perSecond)
		}
	}
}

// Readers that can't reach the store, and instances that don't read it, have no turn.
func TestTurnsAreOfThoseThatRead(t *testing.T) {
	is := is.New(t)
	var alive []gossip.Instance
	for i := range 6 {
		alive = append(alive, gossip.Instance{Name: fmt.Sprint("i", i), IsReader: i != 0, StoreUnreachable: i == 1})
	}
	is.Equal(TurnOf("i2", alive), Turn{Rank: 0, Count: 4})
	is.Equal(TurnOf("i5", alive), Turn{Rank: 3, Count: 4})
	is.Equal(TurnOf("i0", alive), Turn{Rank: 0, Count: 5}) // about to read
	is.Equal(TurnOf("x", nil), Turn{Count: 1})
}
