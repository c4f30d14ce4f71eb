// Package estimate learns how long stages take by input size, with the mean
// and deviation filters of Jacobson (1988).
package estimate

import (
	"math/bits"
	"time"
)

const (
	gain     = 0.05 // weight of a new sample once there are enough
	buckets  = 24   // by the power of two of the input size in bytes
	enough   = 8    // samples before the declared guess is dropped
	devShare = 2    // deviations above the mean that make the high estimate
)

// Stage estimates one pipeline stage; not safe for concurrent use.
type Stage struct {
	prior   time.Duration
	buckets [buckets]sample
	all     sample
}

type sample struct {
	n    int
	mean float64 // nanoseconds
	dev  float64
}

// New returns an estimator that starts from the declared guess.
func New(prior time.Duration) *Stage { return &Stage{prior: prior} }

// Observe takes in one measured time.
func (s *Stage) Observe(size int, took time.Duration) {
	s.buckets[bucket(size)].add(took)
	s.all.add(took)
}

// Mean returns the expected time for an input of that many bytes.
func (s *Stage) Mean(size int) time.Duration {
	m, _ := s.pick(size)
	return m
}

// High returns a time that few requests of that size exceed.
func (s *Stage) UpperBound(size int) time.Duration {
	m, d := s.pick(size)
	return m + devShare*d
}

func (s *Stage) pick(size int) (mean, dev time.Duration) {
	b := &s.buckets[bucket(size)]
	if b.n < enough {
		b = &s.all
	}
	if b.n < enough {
		return s.prior, s.prior / 2
	}
	return time.Duration(b.mean), time.Duration(b.dev)
}

func (s *sample) add(took time.Duration) {
	s.n++
	g := max(gain, 1/float64(s.n))
	x := float64(took)
	diff := x - s.mean
	s.mean += g * diff
	s.dev += g * (max(diff, -diff) - s.dev)
}

func bucket(size int) int { return min(bits.Len(uint(max(size, 0))), buckets-1) }
