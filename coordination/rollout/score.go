package rollout

import (
	"math"
	"time"
)

// Constants of the judgement. For each route it runs Wald's sequential probability
// ratio test (A. Wald, Sequential Tests of Statistical Hypotheses, 1945) on the share
// of bad answers: the old version's recent share against minHarm more. As a version
// may turn bad later, evidence against it is accumulated by Page's cumulative sum
// (E. S. Page, Continuous Inspection Schemes, 1954), which is bounded at 0 and so
// discards earlier evidence for the version.
const (
	falseAlarmRate    = 0.001 // probability that a good version is found harmful, per run of the sum
	missRate          = 0.05  // probability that a harmful version is accepted
	minAllowedRate    = 0.02  // share of bad answers that a good version may always give, however good the old one is
	allowedRateFactor = 1.5   // times the old version's share of bad answers
	// Increase of the share of bad answers that makes a version harmful; a smaller
	// increase takes longer to detect.
	minHarm        = 0.25
	maxAllowedRate = 0.7 // upper bound of the allowed share of bad answers
	// Latency buckets above the old version's median from which an answer is slow: 2.8
	// times the median.
	slowBuckets      = 3
	minMedianAnswers = 5           // answers of the old version from which its median is used
	priorAnswers     = 10.0        // answers at minAllowedRate that the old version is assumed to have given before (prior)
	baselineHalfLife = time.Second // half-life of the old version's answers: within it, a burst of failures shows in both versions
	// Delay before the new version's answers are scored, so that the old version's answers
	// of the same time are reported first: two heartbeats.
	settleTime = 500 * time.Millisecond
	// Longer times between observations are gaps: the instance was suspended and lacks
	// reports of others.
	maxObservationGap = time.Second
	// Bad answers after which a version is rejected. 50 are allowed until the rollback;
	// the difference covers the delay of heartbeats and of announcing the phase.
	maxBadAnswers        = 25
	maxBadOfOneReplica   = 40  // bad answers after which a version is rejected even if they come from a single replica
	minorRouteShare      = 0.1 // share of the service's requests below which a route needs no verdict of its own
	doubtThreshold       = 2.0 // score against a version from which it is not promoted, also on a minor route
	minReplicaAnswers    = 5   // answers from which a replica counts as evidence about its version
	faultyFraction       = 0.5 // fraction of harmThreshold from which a replica counts as faulty: two bad answers in a row
	maxRateForAcceptance = 0.1 // highest allowed rate at which good answers count for a version: while both versions fail, the judge waits
)

// Bounds of the score: above harmThreshold the version is harmful, below
// acceptThreshold it is good.
var (
	harmThreshold   = math.Log((1 - missRate) / falseAlarmRate)
	acceptThreshold = math.Log(missRate / (1 - falseAlarmRate))
)

// replicaScore holds the scores of a new replica on a route.
type replicaScore struct {
	answers     int
	harmScore   float64 // as Finding.Against
	acceptScore float64 // as Finding.Accepted
}

// routeScore holds the scores of the new version on a route, and the old version's
// recent answers.
type routeScore struct {
	Finding
	decayedOldAnswers, decayedOldBad float64 // decayed counts of the old version's answers
}

// addScore adds a log-likelihood ratio; counts is false while good answers don't count
// for the version.
func (r *replicaScore) addScore(step float64, counts bool) {
	r.harmScore = max(r.harmScore+step, 0)
	if counts || step > 0 {
		r.acceptScore += step
	}
}

// rates returns the share of bad answers that a good version may have now, and the
// share of a harmful one.
func (r *routeScore) rates() (good, harm float64) {
	good = (r.decayedOldBad + minAllowedRate*priorAnswers) / (r.decayedOldAnswers + priorAnswers)
	good = min(max(allowedRateFactor*good, minAllowedRate), maxAllowedRate)
	return good, min(good+minHarm, (1+good)/2)
}

// logLikelihoodRatio returns what answers add to the scores.
func (r *routeScore) logLikelihoodRatio(answers, bad int) float64 {
	good, harm := r.rates()
	return float64(bad)*math.Log(harm/good) + float64(answers-bad)*math.Log((1-harm)/(1-good))
}

// countsForAcceptance reports whether good answers count for the version now. They
// don't while the old version fails too.
func (r *routeScore) countsForAcceptance() bool {
	good, _ := r.rates()
	return good <= maxRateForAcceptance
}

// addAnswers adds answers of the new version to the scores and returns the step.
func (r *routeScore) addAnswers(answers, bad int) (step float64) {
	step = r.logLikelihoodRatio(answers, bad)
	r.Against = max(r.Against+step, 0)
	r.GrantedRate, _ = r.rates()
	if step > 0 || r.countsForAcceptance() {
		r.Accepted = min(r.Accepted+step, harmThreshold)
	}
	return step
}

// isFaulty reports whether a replica's answers are evidence against its version.
func (r *replicaScore) isFaulty() bool { return r.harmScore >= faultyFraction*harmThreshold }
