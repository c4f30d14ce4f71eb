package speed

import (
	"math"
	"math/bits"
	"slices"
	"time"
)

const (
	sizeBuckets         = 18 // buckets by powers of two of the prompt tokens, up to 130,000
	observationsPerSize = 16 // capacity of each size bucket

	// Number of generation times for the median: they vary by a factor of ten,
	// because requests state their output length only roughly.
	generationWindow = 99
)

// point is an observation: x tokens were prefilled in y nanoseconds.
type point struct {
	x, y   float64
	at     time.Duration
	weight float64
}

// sizeWindows keeps the latest observations of each prompt size, so that the
// rare long prompts are not displaced by the many short ones.
type sizeWindows struct {
	samples [sizeBuckets][]point
	next    [sizeBuckets]int
}

func (s *sizeWindows) add(p point) {
	i := min(bits.Len(uint(p.x)), sizeBuckets-1)
	if len(s.samples[i]) < observationsPerSize {
		s.samples[i] = append(s.samples[i], p)
		return
	}
	s.samples[i][s.next[i]] = p
	s.next[i] = (s.next[i] + 1) % observationsPerSize
}

// points returns all observations, weighted by age.
func (s *sizeWindows) points(now, decay time.Duration) []point {
	out := make([]point, 0, sizeBuckets*observationsPerSize)
	for _, kept := range s.samples {
		for _, p := range kept {
			p.weight = max(math.Exp(-(now-p.at).Seconds()/decay.Seconds()), minWeight)
			out = append(out, p)
		}
	}
	return out
}

const (
	// Weight of an old observation, which is better than none of its size.
	minWeight = 1e-3
	// Number of observations that must reach a prompt length for it to count as
	// observed, as a single one may be a wrong measurement.
	longestRank = 3
)

// longest returns the prompt length in tokens that at least longestRank
// observations reach; 0 if there are too few.
func (s *sizeWindows) longest() int {
	var top []float64
	for _, window := range slices.Backward(s.samples[:]) {
		for _, p := range window {
			top = append(top, p.x)
		}
		if len(top) >= longestRank {
			slices.Sort(top)
			return int(top[len(top)-longestRank])
		}
	}
	return 0
}

const (
	fitRounds           = 12   // enough for the line to converge to within 1%
	minRelativeResidual = 0.02 // lower bound of residuals, as a share of the expected time, for the reweighting
	minBase             = 1e6  // nanoseconds; lower bound of a line's base and of expected times
)

// regress fits the line that the given quantile of the points lies under, with
// residuals relative to the expected time: quantile regression by iteratively
// reweighted least squares (Koenker and Bassett 1978; Schlossmacher 1973),
// starting from guess.
func regress(points []point, quantile float64, guess Line) Line {
	a, b := float64(guess.Base), float64(guess.PerToken)
	if len(points) == 0 {
		return guess
	}
	for range fitRounds {
		var w, wx, wxx, wy, wxy float64
		for _, p := range points {
			expected := max(a+b*p.x, minBase)
			r := p.y - expected
			k := p.weight / (expected * max(math.Abs(r), minRelativeResidual*expected))
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

// solve returns the least-squares line with a base of at least minBase and a
// slope of at least 0. If all points have the same size, the slope stays.
func solve(w, wx, wxx, wy, wxy, slope float64) (a, b float64) {
	d := w*wxx - wx*wx
	b = slope
	if d > 1e-9*w*wxx {
		b = max((w*wxy-wx*wy)/d, 0)
	}
	a = (wy - b*wx) / w
	if a < minBase && wxx > 0 {
		a = minBase
		b = max((wxy-a*wx)/wxx, 0)
	}
	return a, b
}

// generationTimes keeps the latest times per generated token.
type generationTimes struct {
	samples [generationWindow]time.Duration
	n       int // recorded so far, including those that were overwritten
}

func (g *generationTimes) add(t time.Duration) {
	g.samples[g.n%generationWindow] = t
	g.n++
}

func (g *generationTimes) median() time.Duration {
	all := slices.Sorted(slices.Values(g.samples[:min(g.n, generationWindow)]))
	return all[len(all)/2]
}
