package main

import (
	"math"
	"slices"
)

// Difference is what one way is worth against the first, over the plays that
// both have: the same site, day and seed.
type Difference struct {
	Pairs         int
	Mean          float64 // of the way less the first
	StandardError float64 // standard error of the mean; NaN for fewer than two pairs
	BetterPairs   int     // pairs in which the way is worth more
	WorsePairs    int
	InvalidRuns   int // plays of the way with a rule broken or a fault
}

// compareTo returns a way's difference to the first.
func compareTo(first, way Results) Difference {
	var d Difference
	var each []float64
	for pair, r := range way {
		if len(r.BrokenRules) > 0 || r.Fault != nil {
			d.InvalidRuns++
		}
		against := first[pair]
		if against == nil {
			continue
		}
		x := r.Worth - against.Worth
		each = append(each, x)
		switch {
		case x > 0:
			d.BetterPairs++
		case x < 0:
			d.WorsePairs++
		}
	}
	d.Pairs = len(each)
	d.Mean, d.StandardError = meanError(each)
	return d
}

// meanError returns the mean of values and its standard error.
func meanError(values []float64) (mean, standard float64) {
	n := float64(len(values))
	if n == 0 {
		return math.NaN(), math.NaN()
	}
	for _, x := range values {
		mean += x / n
	}
	if n < 2 {
		return mean, math.NaN()
	}
	square := 0.0
	for _, x := range values {
		square += (x - mean) * (x - mean)
	}
	return mean, math.Sqrt(square / (n - 1) / n)
}

// worths returns by name what each part brings to the worth and each price
// takes off it, on average over the plays of a way that the first has too.
func worths(first, way Results) map[string]float64 {
	out := make(map[string]float64)
	pairs := 0.0
	for pair := range way {
		if first[pair] != nil {
			pairs++
		}
	}
	for pair, r := range way {
		if first[pair] == nil {
			continue
		}
		for _, f := range r.Parts {
			out[f.name] += f.first * f.second / pairs
		}
		for _, f := range r.Prices {
			out[f.name] -= f.second / pairs
		}
	}
	return out
}

// moved returns the names whose worth any way moves by a threshold or more,
// those that are moved most first.
func moved(first map[string]float64, ways []map[string]float64, least float64) []string {
	most := make(map[string]float64)
	for _, w := range ways {
		for name := range w {
			most[name] = max(most[name], math.Abs(w[name]-first[name]))
		}
	}
	var out []string
	for name, by := range most {
		if by >= least {
			out = append(out, name)
		}
	}
	slices.SortFunc(out, func(a, b string) int {
		switch {
		case most[a] != most[b]:
			if most[a] > most[b] {
				return -1
			}
			return 1
		case a < b:
			return -1
		}
		return 1
	})
	return out
}
