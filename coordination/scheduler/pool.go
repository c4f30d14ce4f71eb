package scheduler

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"time"
)

const (
	slowGain     = 0.2  // weight of a new sample in the moving average of slowness
	lateRatio    = 4    // a task that runs this many times its expected time is late
	minLate      = 2    // late tasks from which a replica counts as slow before any of them ends
	ejectAfter   = 3    // consecutive failures that eject a replica
	tieJitter    = 0.01 // largest random part of a key, far below the weight of one task
	maxSlowShare = 0.5  // when a larger fraction of the replicas is impaired, the service is slow, not a replica
)

// replica is the scheduler's view of one replica.
type replica struct {
	id           string
	slots        int // tasks that it can run concurrently
	inflight     int // tasks that it runs now
	addedAt      time.Duration
	slowStart    bool    // added after the first set of replicas
	slowness     float64 // moving average of the ratio of measured to expected time
	lateCount    int     // running tasks that are late
	failures     int     // consecutive failures
	ejectedUntil time.Duration
	probeAt      time.Duration // while it is slow: when it may get the next task
	capacity     int           // tasks that it may run now
	key          float64       // load by which the heap is ordered; +Inf: full
	heapIndex    int           // in pool.heap
	listIndex    int           // in pool.list
}

// pool is the set of replicas, ordered by load in a heap.
type pool struct {
	policy       Policy
	rand         *rand.Rand // breaks ties, so that several schedulers don't pick the same replica
	byID         map[string]*replica
	list         []*replica
	heap         elementHeap[*replica]
	capacity     int     // tasks that all replicas together may run now
	baseSlowness float64 // moving average of the ratio of measured to expected time over the whole service
	cursor       int     // round-robin position in list
	impaired     int     // number of slow or ejected replicas
}

func newPool(p Policy, random *rand.Rand) *pool {
	return &pool{policy: p, rand: random, byID: make(map[string]*replica), baseSlowness: 1}
}

func (p *pool) len() int   { return len(p.list) }
func (p *pool) slots() int { return p.capacity }

func (p *pool) hasFree() bool {
	return len(p.heap) > 0 && !math.IsInf(p.heap[0].key, 1)
}

// setReplicas replaces the set of replicas.
func (p *pool) setReplicas(now time.Duration, slots map[string]int) {
	first := len(p.byID) == 0
	for id, r := range p.byID {
		if _, ok := slots[id]; !ok {
			p.remove(r)
		}
	}
	for id, n := range slots {
		if r, ok := p.byID[id]; ok {
			r.slots = n
			continue
		}
		r := &replica{id: id, slots: n, slowness: p.baseSlowness, addedAt: now, slowStart: !first, capacity: n, listIndex: len(p.list), heapIndex: -1}
		p.byID[id] = r
		p.list = append(p.list, r)
		heap.Push(&p.heap, r)
		p.updateKey(r)
	}
	sort.Slice(p.list, func(i, j int) bool { return p.list[i].id < p.list[j].id })
	for i, r := range p.list {
		r.listIndex = i
	}
	p.sumCapacity()
}

func (p *pool) remove(r *replica) {
	delete(p.byID, r.id)
	p.list = slices.Delete(p.list, r.listIndex, r.listIndex+1)
	for i, o := range p.list {
		o.listIndex = i
	}
	heap.Remove(&p.heap, r.heapIndex)
}

func (p *pool) acquire(now time.Duration, r *replica, o Options) {
	r.inflight++
	if r.isSlow(p, o) {
		r.probeAt = now + o.ProbeInterval
	}
	p.updateCapacity(now, r, o)
}

// release returns a permit's slot and updates the replica's failures and slowness.
func (p *pool) release(now time.Duration, pm *permit, took time.Duration, failed bool, o Options) {
	r := pm.replica
	p.returnSlot(pm)
	if failed {
		r.failures++
		if r.failures >= ejectAfter {
			r.ejectedUntil = now + o.EjectionTime
		}
	} else {
		r.failures = 0
		sample := min(float64(took)/float64(max(pm.expected, time.Millisecond)), 20)
		r.slowness += slowGain * (sample - r.slowness)
		p.baseSlowness += slowGain / float64(max(len(p.list), 1)) * (sample - p.baseSlowness)
	}
	p.updateCapacity(now, r, o)
}

// returnSlot returns a permit's slot without a result.
func (p *pool) returnSlot(pm *permit) {
	r := pm.replica
	r.inflight--
	if pm.late {
		r.lateCount--
	}
	p.updateKey(r)
}

// markLate marks a running permit that is long overdue.
func (p *pool) markLate(now time.Duration, pm *permit, o Options) {
	limit := lateRatio * max(p.baseSlowness, 1) * float64(max(pm.expected, 5*time.Millisecond))
	if !pm.late && o.SlowRatio > 0 && float64(now-pm.start) > limit {
		pm.late = true
		pm.replica.lateCount++
	}
}

// refresh recomputes the capacity of every replica, since ejections and slow starts end
// by the passage of time.
func (p *pool) refresh(now time.Duration, o Options) {
	p.impaired = 0
	for _, r := range p.list {
		if r.isSlow(p, o) || now < r.ejectedUntil {
			p.impaired++
		}
	}
	for _, r := range p.list {
		p.updateCapacity(now, r, o)
	}
	p.sumCapacity()
}

func (p *pool) sumCapacity() {
	p.capacity = 0
	for _, r := range p.list {
		p.capacity += r.capacity
	}
}

// updateCapacity sets how many tasks a replica may run now.
func (p *pool) updateCapacity(now time.Duration, r *replica, o Options) {
	r.capacity = r.slots
	switch {
	case float64(p.impaired) > maxSlowShare*float64(len(p.list)):
	case now < r.ejectedUntil:
		r.capacity = 0
	case r.isSlow(p, o):
		r.capacity = 0
		if now >= r.probeAt && r.inflight == 0 {
			r.capacity = 1
		}
	case r.slowStart && now < r.addedAt+o.SlowStart:
		fraction := float64(now-r.addedAt) / float64(o.SlowStart)
		r.capacity = max(1, int(fraction*float64(r.slots)))
	}
	p.updateKey(r)
}

func (r *replica) isSlow(p *pool, o Options) bool {
	if o.SlowRatio == 0 {
		return false
	}
	return r.lateCount >= minLate || r.slowness > o.SlowRatio*max(p.baseSlowness, 0.1)
}

// penalty is how many times slower than the service the replica is. A faster replica
// gets no bonus, since random variation would then concentrate tasks on a few replicas.
func (r *replica) penalty(p *pool) float64 { return max(1, r.slowness/max(p.baseSlowness, 0.1)) }

func (p *pool) updateKey(r *replica) {
	if r.heapIndex < 0 {
		return
	}
	switch {
	case p.policy == LeastInflight:
		r.key = float64(r.inflight)
	case r.inflight >= r.capacity:
		r.key = math.Inf(1)
	default:
		r.key = float64(r.inflight+1)/float64(r.capacity)*r.penalty(p) + tieJitter*p.rand.Float64()
	}
	heap.Fix(&p.heap, r.heapIndex)
}

// pick returns the replica for the next task, or nil when all are full. It skips the
// replicas in avoid.
func (p *pool) pick(avoid []string) *replica {
	if p.policy == RoundRobin {
		return p.pickRoundRobin(avoid)
	}
	return p.pickLeastLoaded(avoid)
}

func (p *pool) pickRoundRobin(avoid []string) *replica {
	for range p.list {
		p.cursor++
		r := p.list[p.cursor%len(p.list)]
		if !slices.Contains(avoid, r.id) {
			return r
		}
	}
	return nil
}

// pickLeastLoaded returns the least loaded replica that is not in avoid.
func (p *pool) pickLeastLoaded(avoid []string) *replica {
	var skipped []*replica
	var best *replica
	for p.hasFree() {
		r := p.heap[0]
		if !slices.Contains(avoid, r.id) {
			best = r
			break
		}
		heap.Pop(&p.heap)
		skipped = append(skipped, r)
	}
	for _, r := range skipped {
		heap.Push(&p.heap, r)
	}
	return best
}

// ReplicaStats is a replica's state for dumps.
type ReplicaStats struct {
	ID       string  `json:"id"`
	Slots    int     `json:"slots"`
	Capacity int     `json:"room"`
	Inflight int     `json:"inflight"`
	Slowness float64 `json:"slow"`
	Late     int     `json:"late"`
}

func (p *pool) stats() []ReplicaStats {
	out := make([]ReplicaStats, 0, len(p.list))
	for _, r := range p.list {
		out = append(out, ReplicaStats{ID: r.id, Slots: r.slots, Capacity: r.capacity, Inflight: r.inflight, Slowness: r.slowness, Late: r.lateCount})
	}
	return out
}

func (r *replica) before(other *replica) bool { return r.key < other.key }

func (r *replica) setHeapIndex(i int) { r.heapIndex = i }
