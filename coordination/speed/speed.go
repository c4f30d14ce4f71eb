// Package speed learns how fast the engines of a service are: how long they
// take to a first event by what they read, and to generate a token, from what
// requests show. Nothing states either, and engines of two deployments read at
// speeds four times apart.
//
// Of the latest observations some are kept for each size of prompt, and a line
// through them is found that half of the times lie under, and one that most lie
// under (quantile regression). So neither the usual size nor a slow replica
// draws the line, and a change of speed shows as soon as the window has passed.
// A replica that is slower or faster than the others has a factor of its own,
// and does not count for the line.
//
// It is pure and soft state: a new owner begins with what its peers tell.
package speed

import (
	"time"
)

// Options are the estimate's constants.
type Options struct {
	Prior            Figures       // until something is known: no configuration states how fast engines read
	MinObservations  int           // observations after which what was known before counts no more
	RefitEvery       int           // observations between two fits
	LikelyQuantile   float64       // share of the times that lie under the likely line
	MaxExtrapolation int           // times the longest prompt seen, up to which the line is believed
	DecayTime        time.Duration // in which an observation's weight falls by e
	FactorWeight     float64       // weight of the last first event in a replica's factor: a slow one shows within five
	MinFactor        float64       // of a factor; a bound against wrong measurements
	MaxFactor        float64       // slower ones than this are taken for as slow
	OutlierFactor    float64       // factor from or under (1/x) which a replica does not count for the service
}

// Prior is what is taken for known before anything was observed or told, where
// engines read a token in so long: it is on the slow side, as too fast a guess
// takes requests that end late, and too slow a one is mended within a second.
func Prior(perToken time.Duration) Figures {
	return Figures{
		Usual:  Line{Base: 100 * time.Millisecond, PerToken: perToken},
		Likely: Line{Base: 150 * time.Millisecond, PerToken: perToken + perToken/4},
		PerOut: 8 * time.Millisecond, // chosen, twice an idle engine's
	}
}

// Standard returns the constants in use.
func DefaultOptions() Options {
	return Options{
		Prior:            Prior(31 * time.Microsecond),
		MinObservations:  24,
		RefitEvery:       8,
		LikelyQuantile:   0.8,
		MaxExtrapolation: 2,
		DecayTime:        20 * time.Second,
		FactorWeight:     0.2,
		MinFactor:        0.5,
		MaxFactor:        8,
		OutlierFactor:    1.6,
	}
}

// Line is a time to a first event by what is read.
type Line struct {
	Base     time.Duration // of an empty prompt
	PerToken time.Duration
}

func (l Line) at(tokens float64) time.Duration {
	return l.Base + time.Duration(tokens*float64(l.PerToken))
}

// Figures are what is known of a service's engines.
type Figures struct {
	Usual   Line          // half of the first events come sooner
	Likely  Line          // most of them do: Options.Likely
	PerOut  time.Duration // to generate a token
	Longest int           // tokens read, of the longest prompts seen
	Count   int           // observations
}

// Service is what is known of one service. It is not safe for concurrent use.
type Service struct {
	opts    Options
	prior   Figures
	now     Figures
	sizes   sizes
	outs    outs
	typical float64 // factor of the replica in the middle
	due     int     // count at which the next fit is due
}

// Replica is what is known of one replica.
type Replica struct {
	factor float64 // its times to a first event against the usual; 0: not known
}

// New returns the estimate of a service of which nothing is known yet.
func New(o Options) *Service {
	return &Service{opts: o, prior: o.Prior, now: o.Prior, typical: 1, due: 1}
}

// Figures returns what is known.
func (s *Service) Figures() Figures { return s.now }

// Begin takes over what peers know, while little was observed here, and reports
// whether it did. The count stays: only own observations are told on.
func (s *Service) Seed(now time.Duration, f Figures) bool {
	if s.now.Count >= s.opts.MinObservations {
		return false
	}
	s.prior = f
	s.fit(now)
	return true
}

// Known reports whether enough was observed to tell others.
func (s *Service) IsReliable() bool { return s.now.Count >= s.opts.MinObservations }

// Usual returns the usual time to a first event where so many tokens are read.
func (s *Service) Usual(tokens int) time.Duration { return s.bounded(s.now.Usual, tokens) }

// Likely returns the time within which most first events come.
func (s *Service) Likely(tokens int) time.Duration { return s.bounded(s.now.Likely, tokens) }

// bounded follows a line as far as it is believed, and what is known without
// observations beyond.
func (s *Service) bounded(l Line, tokens int) time.Duration {
	known := min(tokens, max(s.now.Longest*s.opts.MaxExtrapolation, 0))
	beyond := max(l.PerToken, s.opts.Prior.Usual.PerToken)
	return l.at(float64(known)) + time.Duration(tokens-known)*beyond
}

// Factor returns how much longer a replica takes than the others.
func (s *Service) Factor(r *Replica) float64 {
	if r.factor == 0 {
		return 1
	}
	return r.factor / s.typical
}

// Observe takes in the time to a first event where so many tokens were read,
// those that the replica had to read before included. A cold replica shows
// nothing of the others.
func (s *Service) Observe(now time.Duration, r *Replica, tokens int, took time.Duration, cold bool) {
	if took <= 0 {
		return
	}
	s.judge(r, tokens, took)
	if cold || s.unusual(r) {
		return
	}
	s.now.Count++
	s.sizes.add(point{x: float64(tokens), y: float64(took), at: now})
	if s.now.Count >= s.due {
		s.fit(now)
		s.due = s.now.Count + min(s.opts.RefitEvery, 1+s.now.Count/4)
	}
}

// judge takes a time into a replica's factor, and the factor into the typical one.
func (s *Service) judge(r *Replica, tokens int, took time.Duration) {
	if r.factor == 0 {
		r.factor = s.typical
	}
	ratio := took.Seconds() / max(s.Usual(tokens).Seconds(), 0.001)
	ratio = min(ratio, mostStep*r.factor)
	r.factor += s.opts.FactorWeight * (ratio - r.factor)
	r.factor = min(max(r.factor, s.opts.MinFactor*s.typical), s.opts.MaxFactor*s.typical)
	if r.factor > s.typical {
		s.typical *= 1 + typicalStep
	} else {
		s.typical /= 1 + typicalStep
	}
}

const (
	mostStep    = 4    // times its factor that one measurement may show: a pause of one request is no slow replica
	typicalStep = 0.02 // by which the typical factor follows each measurement, up or down: it finds their median
)

func (s *Service) unusual(r *Replica) bool {
	f := s.Factor(r)
	return f > s.opts.OutlierFactor || f < 1/s.opts.OutlierFactor
}

// Generated takes in how long a stream took for its tokens after the first event.
func (s *Service) ObserveGeneration(tokens int, took time.Duration) {
	if tokens <= 0 || took <= 0 {
		return
	}
	s.outs.add(took / time.Duration(tokens))
	if s.outs.n >= s.opts.MinObservations {
		s.now.PerOut = s.outs.median()
	}
}

// fit finds both lines anew. What was known before counts as some points that
// fade with the number of observations.
func (s *Service) fit(now time.Duration) {
	before := 1 - float64(s.now.Count)/float64(s.opts.MinObservations)
	s.now.Usual = s.line(now, 0.5, s.prior.Usual, s.now.Usual, before)
	s.now.Likely = s.line(now, s.opts.LikelyQuantile, s.prior.Likely, s.now.Likely, before)
	s.now.Longest = max(s.sizes.longest(), s.prior.Longest)
	if s.now.Count == 0 {
		s.now.PerOut = s.prior.PerOut
	}
}

func (s *Service) line(now time.Duration, quantile float64, prior, last Line, before float64) Line {
	points := s.sizes.points(now, s.opts.DecayTime)
	if before > 0 {
		for _, x := range priorSizes {
			points = append(points, point{x: x, y: float64(prior.at(x)), weight: before})
		}
	}
	return regress(points, quantile, last)
}

// priorSizes are the prompts, in tokens, at which what was known before counts as observed.
var priorSizes = [...]float64{0, 300, 1_000, 3_000, 10_000, 30_000}
