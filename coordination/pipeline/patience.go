package pipeline

import "time"

// fewReplicas is the number of replicas from which a pool keeps its last idle
// one for urgent work: with fewer, a wait for a call's end is too long (with
// three, calls of 0.3 s end each 0.1 s).
const fewReplicas = 3

// mayTakeLast reports whether what waits may take a pool's last idle replica.
// A call's fixed time costs as much as ten pieces, so work that has time waits
// for company, and urgent work that comes meanwhile begins at once.
func (p *pool) mayTakeLast(now time.Duration, o *Options) bool {
	if len(p.order) < fewReplicas || float64(len(p.ready)) >= o.LastFill*float64(p.def.Batch) {
		return true
	}
	urgent := p.load.mostUrgent(now)
	pressing := now + time.Duration(o.LastSlack*float64(p.def.CallTime))
	for _, x := range p.ready {
		if x.stage.job.rank <= urgent || x.stage.latest < pressing {
			return true
		}
	}
	return false
}

// leastArriving is the work of a rank, in seconds of one replica that fade over
// arrivalFor, from which the rank counts as present: one piece of about 20 ms.
const leastArriving = 0.02

// mostUrgent returns the most urgent rank that has work here or had some lately.
func (l load) mostUrgent(now time.Duration) int {
	for _, r := range l {
		r.fade(now)
		if r.pieces > 0 || r.arrived > leastArriving {
			return r.rank
		}
	}
	return 0
}
