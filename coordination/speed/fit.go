package speed

import (
	"math"
	"math/bits"
	"slices"
	"time"
)

const (
	sizeCount = 18 // by the power of two of the tokens, up to 130,000
	sizeKept  = 16 // observations of each size
	outsKept  = 99 // times of generated tokens: they differ by ten, as requests state how many they want only about
)

// point is an observation: tokens read and nanoseconds taken.
type point struct {
	x, y   float64
	at     time.Duration
	weight float64
}

// sizes keeps the latest observations of each size of prompt: long ones are
// rare, and what they take is known from them alone.
type sizes struct {
	kept [sizeCount][]point
	next [sizeCount]int
}

func (s *sizes) add(p point) {
	i := min(bits.Len(uint(p.x)), sizeCount-1)
	if len(s.kept[i]) < sizeKept {
		s.kept[i] = append(s.kept[i], p)
		return
	}
	s.kept[i][s.next[i]] = p
	s.next[i] = (s.next[i] + 1) % sizeKept
}

// points returns all that is kept, weighted by age.
func (s *sizes) points(now, fades time.Duration) []point {
	out := make([]point, 0, sizeCount*sizeKept)
	for _, kept := range s.kept {
		for _, p := range kept {
			p.weight = max(math.Exp(-(now-p.at).Seconds()/fades.Seconds()), leastWeight)
			out = append(out, p)
		}
	}
	return out
}

const (
	leastWeight = 1e-3 // of an old observation: better than none of its size
	longestOf   = 3    // prompts must be as long to count as seen: one may be a wrong measurement
)

// longest returns the tokens that some prompts had.
func (s *sizes) longest() int {
	var top []float64
	for _, kept := range slices.Backward(s.kept[:]) {
		for _, p := range kept {
			top = append(top, p.x)
		}
		if len(top) >= longestOf {
			slices.Sort(top)
			return int(top[len(top)-longestOf])
		}
	}
	return 0
}

const (
	fitRounds = 12   // after which the line moves no more by a hundredth
	fitCorner = 0.02 // share of the time under which a difference is taken for so large
	leastBase = 1e6  // nanoseconds
)

// regress returns the line that a share of the points lies under, each point's
// difference measured against its time: quantile regression by weighted least
// squares (Koenker and Bassett 1978; Schlossmacher 1973), from a first guess.
func regress(points []point, quantile float64, guess Line) Line {
	a, b := float64(guess.Base), float64(guess.PerToken)
	if len(points) == 0 {
		return guess
	}
	for range fitRounds {
		var w, wx, wxx, wy, wxy float64
		for _, p := range points {
			expected := max(a+b*p.x, leastBase)
			r := p.y - expected
			k := p.weight / (expected * max(math.Abs(r), fitCorner*expected))
			if r > 0 {
				k *= quantile
			} else {
				k *= 1 - quantile
			}
			w += k
			wx += k * p.x
			wxx += k * p.x * p.x
			wy += k * p.y
			wxy += k * p.x * p.y
		}
		a, b = solve(w, wx, wxx, wy, wxy, b)
	}
	return Line{Base: time.Duration(a), PerToken: time.Duration(b)}
}

// solve returns the line of least squares that neither begins under leastBase
// nor falls; where all points are of one size the slope stays.
func solve(w, wx, wxx, wy, wxy, slope float64) (a, b float64) {
	d := w*wxx - wx*wx
	b = slope
	if d > 1e-9*w*wxx {
		b = max((w*wxy-wx*wy)/d, 0)
	}
	a = (wy - b*wx) / w
	if a < leastBase && wxx > 0 {
		a = leastBase
		b = max((wxy-a*wx)/wxx, 0)
	}
	return a, b
}

// outs keeps the latest times of generated tokens.
type outs struct {
	kept [outsKept]time.Duration
	n    int
}

func (o *outs) add(t time.Duration) {
	o.kept[o.n%outsKept] = t
	o.n++
}

func (o *outs) median() time.Duration {
	all := slices.Sorted(slices.Values(o.kept[:min(o.n, outsKept)]))
	return all[len(all)/2]
}
