package pipeline

// returns is what became of a rank's jobs that would be late, as a share of
// those seen lately.
type returns struct {
	served float64 // of those that came back after a refusal: expected in time then
	inTime float64 // of those that stood back: done in time after all
}

const (
	returnRate  = 0.05 // weight of a new one: the last 20 or so count
	returnPrior = 0.5  // before anything is seen
)

func (s *Scheduler) returnsOf(rank int) *returns {
	r := s.returns[rank]
	if r == nil {
		r = &returns{served: returnPrior, inTime: returnPrior}
		s.returns[rank] = r
	}
	return r
}

// note takes one in.
func note(share *float64, yes bool) {
	seen := 0.0
	if yes {
		seen = 1
	}
	*share += returnRate * (seen - *share)
}

// mayBeLate reports whether a job may be admitted to be late.
func (s *Scheduler) mayBeLate(j *job) bool {
	return j.AllowLate && s.opts.LateWorth+s.opts.ServedWorth > 0
}

// lateIsWorthMore weighs an answer that will be late by what is expected, for
// one that stands back, against a refusal, whose caller comes back and is in
// time then, or not.
func (s *Scheduler) lateIsWorthMore(j *job) bool {
	if !s.mayBeLate(j) {
		return false
	}
	if j.Retry {
		return true // who is refused now does not come back
	}
	r := s.returnsOf(j.Rank)
	late := r.inTime + (1-r.inTime)*s.opts.LateWorth + s.opts.ServedWorth
	return late > r.served*(s.opts.RetryWorth+s.opts.ServedWorth)
}
