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
	slowGain     = 0.2  // weight of a new sample in a replica's slowness
	lateRatio    = 4    // a request this many times its expected time is late
	lateEnough   = 2    // late requests that make a replica slow before any ends
	ejectAfter   = 3    // failures in a row that eject a replica
	tieSpread    = 0.01 // of a key: far below one request more
	maxSlowShare = 0.5  // above this share slowness is the service's, not a replica's
)

// replica is one replica as the scheduler sees it.
type replica struct {
	id         string
	slots      int
	inflight   int
	addedAt    time.Duration
	fresh      bool // appeared later: gets a slow start
	slow       float64
	late       int
	failures   int
	ejectedTil time.Duration
	probeAt    time.Duration
	room       int // requests it may run by now
	key        float64
	index      int // in pool.heap
	at         int // in pool.list
}

// pool is the set of replicas, ordered by load in a heap.
type pool struct {
	policy Policy
	rand   *rand.Rand // breaks ties, so that several schedulers don't all pick the same
	byID   map[string]*replica
	list   []*replica
	heap   replicaHeap
	total  int
	ratio  float64 // the service's own measured over expected time
	turn   int
	poor   int // slow or ejected
}

func newPool(p Policy, rnd *rand.Rand) *pool {
	return &pool{policy: p, rand: rnd, byID: make(map[string]*replica), ratio: 1}
}

func (p *pool) len() int   { return len(p.list) }
func (p *pool) slots() int { return p.total }

func (p *pool) free() bool {
	return len(p.heap) > 0 && !math.IsInf(p.heap[0].key, 1)
}

// set makes the pool hold exactly these replicas.
func (p *pool) set(now time.Duration, slots map[string]int) {
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
		r := &replica{id: id, slots: n, slow: p.ratio, addedAt: now, fresh: !first, room: n, at: len(p.list), index: -1}
		p.byID[id] = r
		p.list = append(p.list, r)
		heap.Push(&p.heap, r)
		p.rekey(r)
	}
	sort.Slice(p.list, func(i, j int) bool { return p.list[i].id < p.list[j].id })
	for i, r := range p.list {
		r.at = i
	}
	p.count()
}

func (p *pool) remove(r *replica) {
	delete(p.byID, r.id)
	p.list = slices.Delete(p.list, r.at, r.at+1)
	for i, o := range p.list {
		o.at = i
	}
	heap.Remove(&p.heap, r.index)
}

func (p *pool) take(now time.Duration, r *replica, o Options) {
	r.inflight++
	if r.isSlow(p, o) {
		r.probeAt = now + o.ProbeInterval
	}
	p.rate(now, r, o)
}

// release returns a permit's slot and learns from how it went.
func (p *pool) release(now time.Duration, pm *permit, took time.Duration, failed bool, o Options) {
	r := pm.replica
	p.drop(pm)
	if failed {
		r.failures++
		if r.failures >= ejectAfter {
			r.ejectedTil = now + o.EjectionTime
		}
	} else {
		r.failures = 0
		sample := min(float64(took)/float64(max(pm.expect, time.Millisecond)), 20)
		r.slow += slowGain * (sample - r.slow)
		p.ratio += slowGain / float64(max(len(p.list), 1)) * (sample - p.ratio)
	}
	p.rate(now, r, o)
}

// drop returns a permit's slot without learning anything.
func (p *pool) drop(pm *permit) {
	r := pm.replica
	r.inflight--
	if pm.late {
		r.late--
	}
	p.rekey(r)
}

// watch marks a running permit that is long overdue.
func (p *pool) watch(now time.Duration, pm *permit, o Options) {
	limit := lateRatio * max(p.ratio, 1) * float64(max(pm.expect, 5*time.Millisecond))
	if !pm.late && o.SlowRatio > 0 && float64(now-pm.start) > limit {
		pm.late = true
		pm.replica.late++
	}
}

// refresh works out every replica's room again: ejections and slow starts end by time alone.
func (p *pool) refresh(now time.Duration, o Options) {
	p.poor = 0
	for _, r := range p.list {
		if r.isSlow(p, o) || now < r.ejectedTil {
			p.poor++
		}
	}
	for _, r := range p.list {
		p.rate(now, r, o)
	}
	p.count()
}

func (p *pool) count() {
	p.total = 0
	for _, r := range p.list {
		p.total += r.room
	}
}

// rate sets how many requests a replica may run by now.
func (p *pool) rate(now time.Duration, r *replica, o Options) {
	r.room = r.slots
	switch {
	case float64(p.poor) > maxSlowShare*float64(len(p.list)):
	case now < r.ejectedTil:
		r.room = 0
	case r.isSlow(p, o):
		r.room = 0
		if now >= r.probeAt && r.inflight == 0 {
			r.room = 1
		}
	case r.fresh && now < r.addedAt+o.SlowStart:
		part := float64(now-r.addedAt) / float64(o.SlowStart)
		r.room = max(1, int(part*float64(r.slots)))
	}
	p.rekey(r)
}

func (r *replica) isSlow(p *pool, o Options) bool {
	if o.SlowRatio == 0 {
		return false
	}
	return r.late >= lateEnough || r.slow > o.SlowRatio*max(p.ratio, 0.1)
}

// penalty is how many times slower than the service the replica is. A faster
// one gets no bonus: chance alone would then heap the work on few replicas.
func (r *replica) penalty(p *pool) float64 { return max(1, r.slow/max(p.ratio, 0.1)) }

func (p *pool) rekey(r *replica) {
	if r.index < 0 {
		return
	}
	switch {
	case p.policy == LeastInflight:
		r.key = float64(r.inflight)
	case r.inflight >= r.room:
		r.key = math.Inf(1)
	default:
		r.key = float64(r.inflight+1)/float64(r.room)*r.penalty(p) + tieSpread*p.rand.Float64()
	}
	heap.Fix(&p.heap, r.index)
}

// pick returns the replica for the next ask, or nil when all are full. avoid
// names replicas to pass over.
func (p *pool) pick(avoid []string) *replica {
	if p.policy == RoundRobin {
		return p.pickTurn(avoid)
	}
	return p.pickTop(avoid)
}

func (p *pool) pickTurn(avoid []string) *replica {
	for range p.list {
		p.turn++
		r := p.list[p.turn%len(p.list)]
		if !slices.Contains(avoid, r.id) {
			return r
		}
	}
	return nil
}

// pickTop takes the least loaded; those to avoid are set aside and put back.
func (p *pool) pickTop(avoid []string) *replica {
	var aside []*replica
	var best *replica
	for p.free() {
		r := p.heap[0]
		if !slices.Contains(avoid, r.id) {
			best = r
			break
		}
		heap.Pop(&p.heap)
		aside = append(aside, r)
	}
	for _, r := range aside {
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
		out = append(out, ReplicaStats{ID: r.id, Slots: r.slots, Capacity: r.room, Inflight: r.inflight, Slowness: r.slow, Late: r.late})
	}
	return out
}

type replicaHeap []*replica

func (h replicaHeap) Len() int           { return len(h) }
func (h replicaHeap) Less(i, j int) bool { return h[i].key < h[j].key }
func (h replicaHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *replicaHeap) Push(x any) {
	r := x.(*replica)
	r.index = len(*h)
	*h = append(*h, r)
}

// Pop implements heap.Interface.
func (h *replicaHeap) Pop() any {
	old := *h
	r := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	r.index = -1
	return r
}
