package pipeline

import (
	"math"
	"slices"
	"time"
)

// fewReplicas is the number of replicas from which a pool waits for fuller
// calls: with fewer, a wait for a call's end is too long (with three, calls of
// 0.3 s end each 0.1 s).
const fewReplicas = 3

// mayCall reports whether what waits may take an idle replica now. A call's
// fixed time costs as much as dozens of pieces, so a pool that gives each idle
// replica whatever waits keeps all of them at work with calls that are a third
// full, and what has no time waits for a call's end. Pieces wait for company
// while all of them have time to spare, up to the fill at which a share of the
// replicas stays idle; at little load that fill is below one piece, and
// nothing waits.
func (p *pool) mayCall(now time.Duration, fill float64, o *Options) bool {
	if float64(len(p.ready)) >= fill || len(p.order) < fewReplicas {
		return true
	}
	pressing := now + time.Duration(o.PressSlack*float64(p.def.BatchTime))
	return slices.ContainsFunc(p.ready, func(x *piece) bool {
		return x.stage.latest < pressing && x.stage.job.rank < lateRank // what is late already does not press
	})
}

// fill is how many pieces calls must hold for the work that arrives to leave a
// share of the replicas idle: n pieces a call, of arrivals a second and item
// seconds each, keep arrivals * (call/n + item) replicas at work.
func (p *pool) fill(now time.Duration, o *Options) float64 {
	most := float64(p.def.MaxBatch)
	arrivals, items := p.load.overtaking(now, math.MaxInt)
	spare := p.power(now)*o.AtWork - items
	if spare <= 0 {
		return most
	}
	return min(arrivals*p.def.BatchTime.Seconds()/spare, most)
}

// power is how many replicas of speed 1 a pool's replicas amount to.
func (p *pool) power(now time.Duration) float64 {
	power := 0.0
	for _, r := range p.order {
		if r.serving(now) && now+soon >= r.restTo {
			power += 1 / r.speed
		}
	}
	return power
}
