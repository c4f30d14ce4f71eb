package pipeline

import (
	"math"
	"slices"
	"time"
)

// minReplicasToWait is the number of replicas from which a pool waits for fuller calls. With
// fewer replicas the wait for a call's end is too long; with three, calls of 0.3 s end every
// 0.1 s.
const minReplicasToWait = 3

// shouldCall reports whether the waiting items may take an idle replica now. A call's fixed
// time costs as much as dozens of items. If every idle replica got whatever waits, all
// replicas would be busy with calls that are a third full, and urgent items would wait for a
// call's end. Items therefore wait for a fuller call while none of them is urgent, up to the
// fill at which a share of the replicas stays idle. At low load that fill is below one item,
// and nothing waits.
func (p *pool) shouldCall(now time.Duration, fill float64, o *Options) bool {
	if float64(len(p.ready)) >= fill || len(p.replicasByID) < minReplicasToWait {
		return true
	}
	urgentBefore := now + time.Duration(o.UrgentSlack*float64(p.def.BatchTime))
	return slices.ContainsFunc(p.ready, func(x *stageItem) bool {
		return x.stage.latestStart < urgentBefore && x.stage.job.rank < lateRank // late items are not urgent
	})
}

// targetFill returns how many items calls must hold for the arriving work to leave a share of
// the replicas idle. If a call holds n items, costs a fixed time of call seconds plus item
// seconds for each of them, and arrivals items arrive a second, then arrivals * (call/n + item)
// replicas are busy.
func (p *pool) targetFill(now time.Duration, o *Options) float64 {
	limit := float64(p.def.MaxBatch)
	arrivals, itemSecondsRate := p.load.arrivalsAhead(now, math.MaxInt)
	spare := p.effectiveReplicas(now)*o.TargetUtilization - itemSecondsRate
	if spare <= 0 {
		return limit
	}
	return min(arrivals*p.def.BatchTime.Seconds()/spare, limit)
}

// effectiveReplicas returns the throughput of a pool's replicas as a number of replicas with
// slowdown 1.
func (p *pool) effectiveReplicas(now time.Duration) float64 {
	sum := 0.0
	for _, r := range p.replicasByID {
		if r.isServing(now) && now+capacityHorizon >= r.backoffUntil {
			sum += 1 / r.slowdown
		}
	}
	return sum
}
