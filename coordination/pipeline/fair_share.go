package pipeline

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"quinceroad/coordination/shares"
)

const (
	// overShareRank is added to the rank of jobs over their customer's share. They rank
	// behind all jobs within shares and before late ones.
	overShareRank = 500

	// overShareMargin is the share of its slack that a job over its customer's share may be
	// expected to wait. Jobs within shares overtake it while it waits, and if it is then given
	// up, the pools have worked for nothing.
	overShareMargin = 0.8

	// throttledQueue is how much work a throttled customer may have waiting, in time at its
	// share. Waiting work was admitted before the flood was detected and would delay other
	// customers for as long as it takes.
	throttledQueue = 300 * time.Millisecond
)

// checkShare determines whether a job is within its customer's share, and demotes it
// otherwise.
func (s *Scheduler) checkShare(now time.Duration, j *job) shares.Standing {
	j.Needs = append(j.Needs, s.poolNeeds(now, j)...)
	standing := s.shares.RecordDemand(now, j.Customer, j.Rank, j.ReportedUsage, j.Needs)
	if !standing.Within {
		j.overShare = true
		j.rank += overShareRank
	}
	return standing
}

// poolNeeds returns the work that a job requires of each pool and the pools' capacity.
func (s *Scheduler) poolNeeds(now time.Duration, j *job) []shares.Need {
	var out []shares.Need
	for _, st := range j.stages {
		if len(st.items) > 0 {
			out = append(out, shares.Need{Resource: st.def.Service, Work: st.totalWork(), Capacity: st.pool.capacity(now, &s.opts)})
		}
	}
	return out
}

// capacity returns the work a second that a pool can do for jobs within shares.
func (p *pool) capacity(now time.Duration, o *Options) float64 {
	if p.cachedReplicasUntil <= now {
		p.cachedReplicas, p.cachedReplicasUntil = p.effectiveReplicas(now), now+replicasCacheTime
	}
	return p.cachedReplicas * o.TargetUtilization * p.efficiency
}

// replicasCacheTime is how long the number of effective replicas is cached, because it is
// needed for each job.
const replicasCacheTime = 20 * time.Millisecond

// adjustEfficiency estimates how much a pool really does compared to full calls, as result
// memory may run short and calls may not be full. While work within shares piles up, throttled
// customers get less. The step is small because a queue reacts late.
func (p *pool) adjustEfficiency(now time.Duration, throttled bool, o *Options) {
	if !throttled {
		p.efficiency = min(p.efficiency+efficiencyStep, 1)
		return
	}
	work := 0.0
	for _, x := range p.ready {
		if !x.stage.job.overShare && x.stage.job.rank < lateRank {
			work += x.stage.itemWork()
		}
	}
	switch queue := work / max(p.capacity(now, o), minEfficiency); {
	case queue > maxQueue.Seconds():
		p.efficiency = max(p.efficiency-efficiencyStep, minEfficiency)
	case queue < maxQueue.Seconds()/2:
		p.efficiency = min(p.efficiency+efficiencyStep, 1)
	}
}

const (
	maxQueue       = 300 * time.Millisecond // work within shares that may wait at a pool, in time at its capacity
	efficiencyStep = 0.02                   // per tick
	minEfficiency  = 0.2                    // lower bound, as a share of the throughput with full calls
)

// totalWork returns the work of a stage's items in replica seconds, assuming full calls, which
// is what an overloaded pool runs.
func (st *stage) totalWork() float64 { return float64(len(st.items)) * st.itemWork() }

// itemWork returns the work of one item of the stage in a full call.
func (st *stage) itemWork() float64 {
	return st.pool.def.BatchTime.Seconds()/float64(st.pool.batchLimit(st.def.ResultBytes)) + st.pool.itemSeconds(st.def.ResultBytes)
}

// throttle demotes waiting jobs of customers that demand more than their share: the least
// urgent ones, down to the work that the share completes within throttledQueue.
func (s *Scheduler) throttle(now time.Duration) {
	for _, p := range s.poolsByName {
		throttled := s.shares.Throttled(now, p.name)
		p.adjustEfficiency(now, len(throttled) > 0, &s.opts)
		queues := p.waitingByCustomer(throttled)
		for _, customer := range slices.Sorted(maps.Keys(queues)) {
			s.throttleCustomer(now, p, queues[customer])
		}
	}
}

// throttleCustomer demotes a customer's waiting jobs until only the allowed work is left.
func (s *Scheduler) throttleCustomer(now time.Duration, p *pool, q *customerQueue) {
	slices.SortFunc(q.jobs, func(a, b *job) int { return cmp.Or(cmp.Compare(b.rank, a.rank), cmp.Compare(b.id, a.id)) })
	for _, j := range q.jobs {
		if q.work <= q.allowed {
			return
		}
		q.work -= j.waitingWork(p)
		s.demoteOverShare(now, j)
	}
}

// customerQueue is the work that a throttled customer has waiting at a pool.
type customerQueue struct {
	work    float64 // replica seconds
	allowed float64 // part of work that keeps its rank
	jobs    []*job  // jobs that have not started and may be demoted
}

// waitingByCustomer returns the work that waits at a pool for each throttled customer.
func (p *pool) waitingByCustomer(throttled map[string]float64) map[string]*customerQueue {
	if len(throttled) == 0 {
		return nil
	}
	out := make(map[string]*customerQueue)
	for _, x := range p.ready {
		j := x.stage.job
		share, ok := throttled[j.Customer]
		if !ok || j.overShare || j.rank >= lateRank {
			continue
		}
		q := out[j.Customer]
		if q == nil {
			q = &customerQueue{allowed: share * throttledQueue.Seconds()}
			out[j.Customer] = q
		}
		q.work += x.stage.itemWork()
		if !j.started && !slices.Contains(q.jobs, j) {
			q.jobs = append(q.jobs, j)
		}
	}
	return out
}

// waitingWork returns the work of the job's ready items at a pool.
func (j *job) waitingWork(p *pool) float64 {
	sum := 0.0
	for _, st := range j.stages {
		if st.pool != p {
			continue
		}
		for _, x := range st.items {
			if x.state == ready {
				sum += st.itemWork()
			}
		}
	}
	return sum
}

// demoteOverShare ranks an admitted job behind all jobs within shares. If it then has too
// little time, it ends at once so that its caller learns early.
func (s *Scheduler) demoteOverShare(now time.Duration, j *job) {
	j.overShare = true
	s.rerank(j, overShareRank)
	expected, limit := s.forecast(now, j), j.overShareLimit(j.dueAt-now)
	if expected > limit {
		s.fail(now, j, ReasonShare, s.retryAfter(Decision{Expected: expected, Limit: limit}))
	}
}

// overShareLimit returns the time that a job over its customer's share may be expected to
// take, given the time left until it is late.
func (j *job) overShareLimit(objective time.Duration) time.Duration {
	uncontended := j.uncontendedTime()
	return uncontended + time.Duration(float64(objective-uncontended)*overShareMargin)
}

// ReasonShare is the reason for ending a job that exceeds its customer's share.
const ReasonShare = "share"

// TopCustomers returns the customers that demand most of each pool, up to perPool of each,
// and all throttled ones.
func (s *Scheduler) TopCustomers(now time.Duration, perPool int) []shares.Row {
	return s.shares.Rows(now, perPool)
}

// ThrottledCustomers returns the throttled customers of each pool.
func (s *Scheduler) ThrottledCustomers(now time.Duration) []shares.Row {
	return s.shares.ThrottledRows(now)
}
