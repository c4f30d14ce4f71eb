// Package speed estimates the speed of a service's engines from observed
// requests: the time to the first event as a function of the prompt tokens
// prefilled, and the time per generated token. No configuration states either,
// and the prefill speeds of deployments differ by a factor of four.
//
// The latest observations are kept per prompt size, and two lines are fitted
// through them by quantile regression: the median, and a high quantile. Neither
// the most frequent prompt size nor a slow replica dominates the fit, and a
// change of speed shows as soon as the window has passed. Each replica has a
// factor relative to the others; outliers are excluded from the fit.
//
// The package is pure and its state is soft: a new owner is seeded with the
// estimates of its peers.
package speed

import (
	"time"
)

// Options are the settings of a ServiceEstimator.
type Options struct {
	Prior              Estimate      // used without observations: no configuration states the engines' speed
	MinObservations    int           // observations after which the prior no longer counts
	RefitEvery         int           // observations between two fits
	UpperBoundQuantile float64       // quantile of the UpperBound line
	MaxExtrapolation   int           // multiple of the longest observed prompt up to which the lines are used
	DecayTime          time.Duration // in which the weight of an observation falls by a factor of e
	FactorWeight       float64       // weight of the latest observation in a replica's factor: a slow replica shows within five
	MinFactor          float64       // lower bound of a replica's factor, against wrong measurements
	MaxFactor          float64       // upper bound of a replica's factor
	OutlierFactor      float64       // factor above which, or below whose inverse, a replica is excluded from the fit
}

// Prior returns the estimate used before any observation or peer's record, for
// engines that prefill a token in perToken. It errs on the slow side: too fast
// a guess admits requests that miss their deadline, while too slow a guess is
// corrected within a second.
func Prior(perToken time.Duration) Estimate {
	return Estimate{
		Median:         Line{Base: 100 * time.Millisecond, PerToken: perToken},
		UpperBound:     Line{Base: 150 * time.Millisecond, PerToken: perToken + perToken/4},
		PerOutputToken: 8 * time.Millisecond, // twice the time of an idle engine
	}
}

// DefaultOptions returns the options used in production.
func DefaultOptions() Options {
	return Options{
		Prior:              Prior(31 * time.Microsecond),
		MinObservations:    24,
		RefitEvery:         8,
		UpperBoundQuantile: 0.8,
		MaxExtrapolation:   2,
		DecayTime:          20 * time.Second,
		FactorWeight:       0.2,
		MinFactor:          0.5,
		MaxFactor:          8,
		OutlierFactor:      1.6,
	}
}

// Line gives the time to first event as a linear function of the prompt tokens
// prefilled.
type Line struct {
	Base     time.Duration // for an empty prompt
	PerToken time.Duration
}

func (l Line) at(tokens float64) time.Duration {
	return l.Base + time.Duration(tokens*float64(l.PerToken))
}

// Estimate is the estimated speed of a service's engines.
type Estimate struct {
	Median         Line          `json:"Usual"`   // median time to first event
	UpperBound     Line          `json:"Likely"`  // Options.UpperBoundQuantile of the time to first event
	PerOutputToken time.Duration `json:"PerOut"`  // time per generated token
	LongestPrompt  int           `json:"Longest"` // longest prompt observed, in tokens; see longestRank
	Count          int           // observations; of a combined estimate, origins
}

// ServiceEstimator estimates the speed of one service's engines. It is not safe
// for concurrent use.
type ServiceEstimator struct {
	opts         Options
	prior        Estimate
	current      Estimate
	sizes        sizeWindows
	generations  generationTimes
	medianFactor float64 // running median of the replicas' factors
	nextFit      int     // count at which the lines are fitted next
}

// ReplicaEstimator estimates the speed of one replica.
type ReplicaEstimator struct {
	factor float64 // time to first event relative to the service's median line; 0: unknown
}

// New returns an estimator without observations.
func New(o Options) *ServiceEstimator {
	return &ServiceEstimator{opts: o, prior: o.Prior, current: o.Prior, medianFactor: 1, nextFit: 1}
}

// Estimate returns the current estimate.
func (s *ServiceEstimator) Estimate() Estimate { return s.current }

// Seed replaces the prior by the estimate of peers while there are few
// observations, and reports whether it did. The count stays, as only an owner's
// own observations are announced to peers.
func (s *ServiceEstimator) Seed(now time.Duration, e Estimate) bool {
	if s.current.Count >= s.opts.MinObservations {
		return false
	}
	s.prior = e
	s.fit(now)
	return true
}

// IsReliable reports whether there are enough observations to announce the
// estimate to peers.
func (s *ServiceEstimator) IsReliable() bool { return s.current.Count >= s.opts.MinObservations }

// Median returns the median time to first event for the given number of
// prefilled tokens.
func (s *ServiceEstimator) Median(tokens int) time.Duration {
	return s.predict(s.current.Median, tokens)
}

// UpperBound returns the time within which most first events come
// (Options.UpperBoundQuantile).
func (s *ServiceEstimator) UpperBound(tokens int) time.Duration {
	return s.predict(s.current.UpperBound, tokens)
}

// predict evaluates a line up to MaxExtrapolation times the longest observed
// prompt, and uses the prior's slope beyond if that is slower.
func (s *ServiceEstimator) predict(l Line, tokens int) time.Duration {
	known := min(tokens, max(s.current.LongestPrompt*s.opts.MaxExtrapolation, 0))
	beyond := max(l.PerToken, s.opts.Prior.Median.PerToken)
	return l.at(float64(known)) + time.Duration(tokens-known)*beyond
}

// Factor returns a replica's time to first event relative to the other
// replicas.
func (s *ServiceEstimator) Factor(r *ReplicaEstimator) float64 {
	if r.factor == 0 {
		return 1
	}
	return r.factor / s.medianFactor
}

// Observe records a time to first event for the given number of prefilled
// tokens, including those queued ahead of the request. Observations of a
// warming replica don't count for the service.
func (s *ServiceEstimator) Observe(now time.Duration, r *ReplicaEstimator, tokens int, took time.Duration, warming bool) {
	if took <= 0 {
		return
	}
	s.updateFactor(r, tokens, took)
	if warming || s.isOutlier(r) {
		return
	}
	s.current.Count++
	s.sizes.add(point{x: float64(tokens), y: float64(took), at: now})
	if s.current.Count >= s.nextFit {
		s.fit(now)
		s.nextFit = s.current.Count + min(s.opts.RefitEvery, 1+s.current.Count/4)
	}
}

// updateFactor updates a replica's factor from an observation, and the running
// median of factors from the replica's.
func (s *ServiceEstimator) updateFactor(r *ReplicaEstimator, tokens int, took time.Duration) {
	if r.factor == 0 {
		r.factor = s.medianFactor
	}
	ratio := took.Seconds() / max(s.Median(tokens).Seconds(), 0.001)
	ratio = min(ratio, maxRatioStep*r.factor)
	r.factor += s.opts.FactorWeight * (ratio - r.factor)
	r.factor = min(max(r.factor, s.opts.MinFactor*s.medianFactor), s.opts.MaxFactor*s.medianFactor)
	if r.factor > s.medianFactor {
		s.medianFactor *= 1 + medianFactorStep
	} else {
		s.medianFactor /= 1 + medianFactorStep
	}
}

const (
	// Maximum ratio of one observation to the replica's factor, so that a single
	// paused request doesn't mark a replica as slow.
	maxRatioStep = 4
	// Relative step of the running median, up or down per observation.
	medianFactorStep = 0.02
)

func (s *ServiceEstimator) isOutlier(r *ReplicaEstimator) bool {
	f := s.Factor(r)
	return f > s.opts.OutlierFactor || f < 1/s.opts.OutlierFactor
}

// ObserveGeneration records how long a stream took for its tokens after the
// first event.
func (s *ServiceEstimator) ObserveGeneration(tokens int, took time.Duration) {
	if tokens <= 0 || took <= 0 {
		return
	}
	s.generations.add(took / time.Duration(tokens))
	if s.generations.n >= s.opts.MinObservations {
		s.current.PerOutputToken = s.generations.median()
	}
}

// fit recomputes both lines. The prior counts as a few points whose weight
// decreases with the number of observations.
func (s *ServiceEstimator) fit(now time.Duration) {
	priorWeight := 1 - float64(s.current.Count)/float64(s.opts.MinObservations)
	s.current.Median = s.fitLine(now, 0.5, s.prior.Median, s.current.Median, priorWeight)
	s.current.UpperBound = s.fitLine(now, s.opts.UpperBoundQuantile, s.prior.UpperBound, s.current.UpperBound, priorWeight)
	s.current.LongestPrompt = max(s.sizes.longest(), s.prior.LongestPrompt)
	if s.current.Count == 0 {
		s.current.PerOutputToken = s.prior.PerOutputToken
	}
}

func (s *ServiceEstimator) fitLine(now time.Duration, quantile float64, prior, last Line, priorWeight float64) Line {
	points := s.sizes.points(now, s.opts.DecayTime)
	if priorWeight > 0 {
		for _, x := range priorSizes {
			points = append(points, point{x: x, y: float64(prior.at(x)), weight: priorWeight})
		}
	}
	return regress(points, quantile, last)
}

// priorSizes are the prompt sizes, in tokens, at which the prior contributes
// points.
var priorSizes = [...]float64{0, 300, 1_000, 3_000, 10_000, 30_000}
