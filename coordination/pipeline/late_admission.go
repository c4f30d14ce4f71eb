package pipeline

// lateStats tracks outcomes of a rank's jobs that were expected to be late, as moving
// averages.
type lateStats struct {
	retriesInTime      float64 // retried jobs that were expected in time after their refusal
	lateAdmittedInTime float64 // jobs admitted late that were done in time after all
}

const (
	outcomeWeight = 0.05 // weight of a new outcome; about the last 20 count
	outcomePrior  = 0.5  // before the first outcome
)

func (s *Scheduler) lateStatsOf(rank int) *lateStats {
	r := s.lateStats[rank]
	if r == nil {
		r = &lateStats{retriesInTime: outcomePrior, lateAdmittedInTime: outcomePrior}
		s.lateStats[rank] = r
	}
	return r
}

// recordOutcome adds an outcome to a moving average.
func recordOutcome(share *float64, success bool) {
	outcome := 0.0
	if success {
		outcome = 1
	}
	*share += outcomeWeight * (outcome - *share)
}

// allowsLate reports whether a job may be admitted although it will be late.
func (s *Scheduler) allowsLate(j *job) bool {
	return j.AllowLate && s.opts.LateWorth+s.opts.ServedWorth > 0
}

// prefersLateAnswer compares the expected worth of admitting a late job with that of a
// refusal, after which the caller retries and may then be in time.
func (s *Scheduler) prefersLateAnswer(j *job) bool {
	if !s.allowsLate(j) {
		return false
	}
	if j.Retry {
		return true // a retried job that is refused does not come back
	}
	r := s.lateStatsOf(j.Rank)
	late := r.lateAdmittedInTime + (1-r.lateAdmittedInTime)*s.opts.LateWorth + s.opts.ServedWorth
	return late > r.retriesInTime*(s.opts.RetryWorth+s.opts.ServedWorth)
}
