package pipeline

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// rankLoad is a pool's work of one rank.
type rankLoad struct {
	rank           int
	items          int     // admitted and not running
	waitingSeconds float64 // time that these items add to calls, without the calls' fixed times
	recentItems    float64 // items admitted recently, decaying
	recentSeconds  float64 // time that these items add to calls, decaying
	queuedBytes    int64   // results of admitted jobs that have not started
	recentBytes    float64 // results of jobs admitted recently, decaying
	decayedAt      time.Duration
}

// load is a pool's work by rank, the most urgent first.
type load []*rankLoad

// forRank returns the work of a rank, which it adds if needed.
func (l *load) forRank(rank int) *rankLoad {
	i, found := slices.BinarySearchFunc(*l, rank, func(r *rankLoad, rank int) int { return cmp.Compare(r.rank, rank) })
	if !found {
		*l = slices.Insert(*l, i, &rankLoad{rank: rank})
	}
	return (*l)[i]
}

func (r *rankLoad) add(itemSeconds float64) {
	r.items++
	r.waitingSeconds += itemSeconds
}

func (r *rankLoad) remove(itemSeconds float64) {
	r.items--
	r.waitingSeconds -= itemSeconds
	if r.items == 0 {
		r.waitingSeconds = 0 // clears rounding errors
	}
}

// arrivalWindow is the time constant of the average over arriving work.
const arrivalWindow = 2 * time.Second

func (r *rankLoad) decay(now time.Duration) {
	left := math.Exp(-(now - r.decayedAt).Seconds() / arrivalWindow.Seconds())
	r.recentItems *= left
	r.recentSeconds *= left
	r.recentBytes *= left
	r.decayedAt = now
}

// recordArrival counts admitted items.
func (r *rankLoad) recordArrival(now time.Duration, items int, itemSeconds float64) {
	r.decay(now)
	r.recentItems += float64(items)
	r.recentSeconds += itemSeconds * float64(items)
}

// queueMemory counts the result memory of an admitted job.
func (r *rankLoad) queueMemory(now time.Duration, bytes int64) {
	r.decay(now)
	r.queuedBytes += bytes
	r.recentBytes += float64(bytes)
}

// memoryAhead returns the bytes of results of waiting jobs that go before a new job of the
// given rank, and the bytes a second of such jobs that arrive.
func (l load) memoryAhead(now time.Duration, rank int) (bytes int64, arrivalRate float64) {
	for _, r := range l {
		if r.rank <= rank {
			bytes += r.queuedBytes
		}
		if r.rank < rank {
			r.decay(now)
			arrivalRate += r.recentBytes / arrivalWindow.Seconds()
		}
	}
	return bytes, arrivalRate
}

// itemsAhead returns the waiting items that go before a new job of the given rank, and the
// seconds that they add to calls.
func (l load) itemsAhead(rank int) (items int, seconds float64) {
	for _, r := range l {
		if r.rank <= rank {
			items += r.items
			seconds += r.waitingSeconds
		}
	}
	return items, seconds
}

// arrivalsAhead returns how many items that go before the given rank arrive a second, and the
// seconds that they add to calls.
func (l load) arrivalsAhead(now time.Duration, rank int) (itemRate, secondsRate float64) {
	for _, r := range l {
		if r.rank < rank {
			r.decay(now)
			itemRate += r.recentItems / arrivalWindow.Seconds()
			secondsRate += r.recentSeconds / arrivalWindow.Seconds()
		}
	}
	return itemRate, secondsRate
}
