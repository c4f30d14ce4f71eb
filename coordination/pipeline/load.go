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
	waiting float64 // seconds of one replica that these will take
	arrived float64 // seconds of one replica that were admitted lately, fading
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

func (r *rankLoad) add(work float64) {
	r.pieces++
	r.waiting += work
}

func (r *rankLoad) drop(work float64) {
	r.pieces--
	r.waiting -= work
	if r.pieces == 0 {
		r.waiting = 0 // leaves no rounding behind
	}
}

// arrivalFor is over which time arriving work is averaged.
const arrivalFor = 2 * time.Second

func (r *rankLoad) fade(now time.Duration) {
	r.arrived *= math.Exp(-(now - r.at).Seconds() / arrivalFor.Seconds())
	r.at = now
}

// arrives notes work that is admitted.
func (r *rankLoad) arrives(now time.Duration, work float64) {
	r.fade(now)
	r.arrived += work
}

// before returns the work that waits and goes before a new job of a rank.
func (l load) before(rank int) float64 {
	work := 0.0
	for _, r := range l {
		if r.rank <= rank {
			work += r.waiting
		}
	}
	return work
}

// overtaking is how many replicas the work that goes before a rank and still
// arrives keeps busy.
func (l load) overtaking(now time.Duration, rank int) float64 {
	busy := 0.0
	for _, r := range l {
		if r.rank < rank {
			r.fade(now)
			busy += r.arrived / arrivalFor.Seconds()
		}
	}
	return busy
}
