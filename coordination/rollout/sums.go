package rollout

import (
	"math"
	"time"
)

// Constants of the judgement. The test is Wald's sequential probability ratio
// test (A. Wald, Sequential Tests of Statistical Hypotheses, 1945) of the share
// of bad answers, route by route: that of the old version in the same seconds,
// against leastHarm more. As a version may turn bad later, what speaks against
// it is summed as by Page's cumulative sum (E. S. Page, Continuous Inspection
// Schemes, 1954), which forgets what spoke for it before.
const (
	falseAlarm = 0.001                  // that a good version is taken for a bad one, in one run of the sum
	missed     = 0.05                   // that a bad one is trusted
	leastRate  = 0.02                   // of bad answers, that a good version is granted however good the old one is
	granted    = 1.5                    // times the old version's rate
	leastHarm  = 0.25                   // more bad answers than that make a bad version, a smaller part takes longer to tell
	mostRate   = 0.7                    // the highest rate that a version is granted
	slowSteps  = 3                      // buckets above the old version's median: 2.8 times as slow
	knownFrom  = 5                      // answers of the old version, from which its median counts
	priorSeen  = 10.0                   // answers at leastRate, that the old version is taken to have given before
	halfLife   = time.Second            // of what the old version has answered: a burst shows in both within it
	settleFor  = 500 * time.Millisecond // until new answers are weighed, so that the old ones of the same moment are told: two heartbeats
	gap        = time.Second            // between looks, after which what others saw meanwhile is not told yet: an instance that was frozen
	mostBad    = 25                     // bad answers, of 50 that may be seen: heartbeats and the way of the phase take part of the rest
	alone      = 40                     // bad answers after which even those of one replica count
	thinPart   = 0.1                    // of the service's requests, beneath which a route needs no verdict of its own
	doubt      = 2.0                    // in a thin route's sum, above which the version isn't trusted
	seenFrom   = 5                      // answers, from which a replica can speak for the others
	sickPart   = 0.5                    // of the sum that accuses a version: a replica alone that speaks against it, two bad answers in a row
	mostTrust  = 0.1                    // the highest rate granted, at which answers speak for a version: when both fail, wait
)

// Bounds of the sum: beyond accuse the version is bad, below acquit it is good.
var (
	accuse = math.Log((1 - missed) / falseAlarm)
	acquit = math.Log(missed / (1 - falseAlarm))
)

// replica is what was seen of a new replica on a route.
type replica struct {
	answers  int
	against  float64 // as of the route
	accepted float64
}

type route struct {
	Finding
	oldSeen, oldFailed float64 // lately
}

func (r *replica) weigh(step float64, counts bool) {
	r.against = max(r.against+step, 0)
	if counts || step > 0 {
		r.accepted += step
	}
}

// rates returns the share of bad answers that a good version may have now, and
// that of a bad one.
func (r *route) rates() (good, harm float64) {
	good = (r.oldFailed + leastRate*priorSeen) / (r.oldSeen + priorSeen)
	good = min(max(granted*good, leastRate), mostRate)
	return good, min(good+leastHarm, (1+good)/2)
}

// step is what answers add to the sums.
func (r *route) step(answers, bad int) float64 {
	good, harm := r.rates()
	return float64(bad)*math.Log(harm/good) + float64(answers-bad)*math.Log((1-harm)/(1-good))
}

// speaks reports whether good answers speak for the version now: not while the
// old one fails, too.
func (r *route) speaks() bool {
	good, _ := r.rates()
	return good <= mostTrust
}

// weigh takes in new answers of the new version.
func (r *route) weigh(answers, bad int) (step float64) {
	step = r.step(answers, bad)
	r.Against = max(r.Against+step, 0)
	r.GrantedRate, _ = r.rates()
	if step > 0 || r.speaks() {
		r.Accepted = min(r.Accepted+step, accuse)
	}
	return step
}

// sick reports whether a replica speaks against its version.
func (r *replica) sick() bool { return r.against >= sickPart*accuse }
