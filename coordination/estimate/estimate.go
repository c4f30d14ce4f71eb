// Package estimate estimates the duration of a pipeline's stages by input size from
// observed durations. It uses the moving averages of mean and deviation of Jacobson's
// estimator of round-trip times (1988).
package estimate

import (
	"math/bits"
	"time"
)

const (
	gain                 = 0.05 // weight of a new sample in the steady state
	buckets              = 24   // by powers of two of the input size in bytes
	minSamples           = 8    // with fewer, the samples of all sizes are used, or the declared duration
	upperBoundDeviations = 2    // mean deviations of the upper bound above the mean
)

// Estimator estimates the duration of one pipeline stage. It is not safe for
// concurrent use.
type Estimator struct {
	prior   time.Duration
	buckets [buckets]statistics
	all     statistics
}

type statistics struct {
	n    int
	mean float64 // nanoseconds
	dev  float64 // mean absolute deviation, in nanoseconds
}

// New returns an estimator that starts from the declared duration.
func New(prior time.Duration) *Estimator { return &Estimator{prior: prior} }

// Observe records a measured duration for an input of size bytes.
func (e *Estimator) Observe(size int, took time.Duration) {
	e.buckets[bucket(size)].add(took)
	e.all.add(took)
}

// Mean returns the expected duration for an input of size bytes.
func (e *Estimator) Mean(size int) time.Duration {
	m, _ := e.statistics(size)
	return m
}

// UpperBound returns a duration that few inputs of that size exceed.
func (e *Estimator) UpperBound(size int) time.Duration {
	m, d := e.statistics(size)
	return m + upperBoundDeviations*d
}

func (e *Estimator) statistics(size int) (mean, dev time.Duration) {
	b := &e.buckets[bucket(size)]
	if b.n < minSamples {
		b = &e.all
	}
	if b.n < minSamples {
		return e.prior, e.prior / 2
	}
	return time.Duration(b.mean), time.Duration(b.dev)
}

func (s *statistics) add(took time.Duration) {
	s.n++
	g := max(gain, 1/float64(s.n))
	x := float64(took)
	diff := x - s.mean
	s.mean += g * diff
	s.dev += g * (max(diff, -diff) - s.dev)
}

func bucket(size int) int { return min(bits.Len(uint(max(size, 0))), buckets-1) }
