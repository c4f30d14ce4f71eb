package main

import (
	"math"
	"slices"
)

// Difference is the difference in worth of one variant to the baseline, over the
// pairs: runs of the same site, day and seed that both have.
type Difference struct {
	Pairs         int
	Mean          float64 // variant less baseline
	StandardError float64 // standard error of the mean; NaN for fewer than two pairs
	BetterPairs   int     // pairs in which the variant has the higher worth
	WorsePairs    int
	InvalidRuns   int // runs of the variant with a broken rule or a fault, paired or not
}

// pairedDifference returns the difference of a variant to the baseline.
func pairedDifference(baseline, variant Results) Difference {
	var d Difference
	var differences []float64
	for pair, r := range variant {
		if len(r.BrokenRules) > 0 || r.Fault != nil {
			d.InvalidRuns++
		}
		reference := baseline[pair]
		if reference == nil {
			continue
		}
		x := r.Worth - reference.Worth
		differences = append(differences, x)
		switch {
		case x > 0:
			d.BetterPairs++
		case x < 0:
			d.WorsePairs++
		}
	}
	d.Pairs = len(differences)
	d.Mean, d.StandardError = meanAndError(differences)
	return d
}

// meanAndError returns the mean of values and its standard error.
func meanAndError(values []float64) (mean, standard float64) {
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

// meanContributions returns, by name, the mean contribution to the worth of each
// part and price (negative), over the runs of a variant that the baseline has too.
func meanContributions(baseline, variant Results) map[string]float64 {
	out := make(map[string]float64)
	pairs := 0.0
	for pair := range variant {
		if baseline[pair] != nil {
			pairs++
		}
	}
	for pair, r := range variant {
		if baseline[pair] == nil {
			continue
		}
		for _, c := range r.Parts {
			out[c.name] += c.amount * c.value / pairs
		}
		for _, c := range r.Prices {
			out[c.name] -= c.value / pairs
		}
	}
	return out
}

// largestChanges returns the names of the parts and prices whose contribution
// differs from the baseline by threshold or more in any variant, the largest change
// first.
func largestChanges(baseline map[string]float64, variants []map[string]float64, threshold float64) []string {
	largest := make(map[string]float64)
	for _, contributions := range variants {
		for name := range contributions {
			largest[name] = max(largest[name], math.Abs(contributions[name]-baseline[name]))
		}
	}
	var out []string
	for name, change := range largest {
		if change >= threshold {
			out = append(out, name)
		}
	}
	slices.SortFunc(out, func(a, b string) int {
		switch {
		case largest[a] != largest[b]:
			if largest[a] > largest[b] {
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
