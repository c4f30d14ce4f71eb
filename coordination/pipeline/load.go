package pipeline

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// rankLoad is the work of one rank at a pool.
type rankLoad struct {
	rank    int
	pieces  int     // admitted and not at work
	waiting float64 // seconds that these will take in calls, beside the calls' fixed times
	came    float64 // pieces that were admitted lately, fading
	items   float64 // seconds of these in calls, the same
	room    int64   // bytes that the results of jobs take which have not begun
	wanted  float64 // bytes of the results of jobs that were admitted lately, fading
	at      time.Duration
}

// load is a pool's work by rank, the most urgent first.
type load []*rankLoad

// of returns the work of a rank.
func (l *load) of(rank int) *rankLoad {
	i, found := slices.BinarySearchFunc(*l, rank, func(r *rankLoad, rank int) int { return cmp.Compare(r.rank, rank) })
	if !found {
		*l = slices.Insert(*l, i, &rankLoad{rank: rank})
	}
	return (*l)[i]
}

func (r *rankLoad) add(item float64) {
	r.pieces++
	r.waiting += item
}

func (r *rankLoad) drop(item float64) {
	r.pieces--
	r.waiting -= item
	if r.pieces == 0 {
		r.waiting = 0 // leaves no rounding behind
	}
}

// arrivalFor is over which time arriving work is averaged.
const arrivalFor = 2 * time.Second

func (r *rankLoad) fade(now time.Duration) {
	left := math.Exp(-(now - r.at).Seconds() / arrivalFor.Seconds())
	r.came *= left
	r.items *= left
	r.wanted *= left
	r.at = now
}

// arrives notes pieces that are admitted, which take so many seconds each.
func (r *rankLoad) arrives(now time.Duration, pieces int, item float64) {
	r.fade(now)
	r.came += float64(pieces)
	r.items += item * float64(pieces)
}

// wantsRoom notes a job that is admitted and whose results take so many bytes.
func (r *rankLoad) wantsRoom(now time.Duration, bytes int64) {
	r.fade(now)
	r.room += bytes
	r.wanted += float64(bytes)
}

// roomBefore returns the bytes of results whose jobs have not begun and go before
// a new one of a rank, and how many bytes a second come that do.
func (l load) roomBefore(now time.Duration, rank int) (bytes int64, coming float64) {
	for _, r := range l {
		if r.rank <= rank {
			bytes += r.room
		}
		if r.rank < rank {
			r.fade(now)
			coming += r.wanted / arrivalFor.Seconds()
		}
	}
	return bytes, coming
}

// before returns the pieces that wait and go before a new job of a rank, and
// the seconds that they take in calls.
func (l load) before(rank int) (pieces int, items float64) {
	for _, r := range l {
		if r.rank <= rank {
			pieces += r.pieces
			items += r.waiting
		}
	}
	return pieces, items
}

// overtaking returns how many pieces that go before a rank come in a second,
// and the seconds that they take in calls.
func (l load) overtaking(now time.Duration, rank int) (pieces, items float64) {
	for _, r := range l {
		if r.rank < rank {
			r.fade(now)
			pieces += r.came / arrivalFor.Seconds()
			items += r.items / arrivalFor.Seconds()
		}
	}
	return pieces, items
}
