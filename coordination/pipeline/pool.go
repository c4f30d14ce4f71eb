package pipeline

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"quinceroad/coordination/warmup"
	"quinceroad/state/catalog"
)

// pool holds the replicas of one service and the items that wait for them.
type pool struct {
	name                string
	def                 catalog.Pool
	replicas            map[string]*replica
	replicasByID        []*replica // the values of replicas, sorted by ID
	ready               []*stageItem
	load                load
	memory              memoryUse
	sizeFactors         map[int64]float64 // by the bytes of an item's result; see sizeFactor
	warmUpRate          int               // calls a second to a warming replica; 0: unlimited
	warmUpCalls         *warmup.Window    // to warming replicas
	cachedReplicas      float64           // effectiveReplicas, valid until cachedReplicasUntil
	cachedReplicasUntil time.Duration
	efficiency          float64       // actual throughput as a share of that with full calls, adjusted by the queue
	backoffUntil        time.Duration // see backoffEnd; as of the last tick
}

func newPool(name string) *pool {
	return &pool{
		name:        name,
		replicas:    make(map[string]*replica),
		sizeFactors: make(map[int64]float64),
		warmUpCalls: warmup.NewWindow(),
		efficiency:  1,
	}
}

// replica is one replica of a pool.
type replica struct {
	catalog.Replica
	draining     bool  // gets no new calls until its incarnation ends
	unlisted     bool  // no longer listed, but a call is still running
	call         *call // running call, or nil
	heldBytes    int64 // results held there, including those of its running call
	results      map[string]*heldResult
	foreignBytes int64         // result memory used by others, as inferred from its refusals and reports
	foreignAt    time.Duration // when that was inferred
	slowdown     float64       // actual call time divided by the expected one
	pausedUntil  time.Duration
	backoffUntil time.Duration // requested by the replica itself
	lastPause    time.Duration // after a failure; the next one is twice as long
	nextSendAt   time.Duration // earliest next call under its rate limit
	sendInterval time.Duration // between two calls under its rate limit; 0: no limit
}

// heldResult is a result that its producer holds.
type heldResult struct {
	item      *stageItem
	bytes     int64
	expiresAt time.Duration // when the producer drops it by itself
}

func (p *pool) upsert(r catalog.Replica) {
	old := p.replicas[r.ID]
	if old == nil {
		p.replicas[r.ID] = &replica{Replica: r, draining: r.Draining, results: make(map[string]*heldResult), slowdown: 1}
		return
	}
	old.Replica = r
	old.draining = old.draining || r.Draining // an incarnation never stops draining
	old.unlisted = false
}

func (p *pool) removeUnlisted(listed map[string]bool) {
	for id, r := range p.replicas {
		if listed[id] {
			continue
		}
		r.unlisted = true
		if r.call == nil {
			delete(p.replicas, id)
		}
	}
	p.sortReplicas()
}

func (p *pool) sortReplicas() {
	p.replicasByID = slices.SortedFunc(maps.Values(p.replicas), func(a, b *replica) int { return cmp.Compare(a.ID, b.ID) })
}

// acceptsWork reports whether a replica may get new work at all.
func (r *replica) acceptsWork() bool {
	return !r.draining && !r.unlisted && !r.HallDrained && !r.HeldByRollout
}

func (r *replica) isIdle(now time.Duration) bool {
	return r.call == nil && r.acceptsWork() && now >= r.pausedUntil && now >= r.backoffUntil && now >= r.nextSendAt
}

// allowsWarmUpCall reports whether a replica has warmed up or may get another call before it
// has.
func (p *pool) allowsWarmUpCall(now time.Duration, r *replica) bool {
	return p.warmUpRate == 0 || now >= r.WarmingUntil || p.warmUpCalls.NextAllowed(now, r.ID, p.warmUpRate) <= now
}

// capacityHorizon is how long a replica may be paused and still count as capacity. Such a
// replica is full or busy for another owner and will soon be free.
const capacityHorizon = 400 * time.Millisecond

// isServing reports whether a replica counts as capacity.
func (r *replica) isServing(now time.Duration) bool {
	return r.acceptsWork() && (now+capacityHorizon >= r.pausedUntil || r.call != nil)
}

// freeAt returns when a replica can take its next call.
func (r *replica) freeAt(now time.Duration) time.Duration {
	if r.call != nil {
		return max(r.call.dueAt, r.nextSendAt, now)
	}
	return max(r.pausedUntil, r.backoffUntil, r.nextSendAt, now)
}

func (r *replica) expireResults(now time.Duration) {
	for h, res := range r.results {
		if now >= res.expiresAt {
			r.dropResult(h)
		}
	}
}

func (r *replica) dropResult(handle string) {
	if h := r.results[handle]; h != nil {
		r.heldBytes -= h.bytes
		delete(r.results, handle)
	}
}

// usedBytes returns the result memory in use at a replica. The part that others use, such as a
// previous owner of the pool, is taken to shrink linearly over holdFor as their results
// expire.
func (r *replica) usedBytes(now time.Duration, holdFor time.Duration) int64 {
	left := 1 - float64(now-r.foreignAt)/float64(max(holdFor, time.Millisecond))
	return r.heldBytes + int64(max(left, 0)*float64(r.foreignBytes))
}

// recordMemoryFull records that a replica had no memory for a result of this size.
func (r *replica) recordMemoryFull(now time.Duration, holdFor time.Duration, bytes int64) {
	r.foreignBytes = r.usedBytes(now, holdFor) - r.heldBytes + bytes
	r.foreignAt = now
}

func (r *replica) recordFailure(now time.Duration, o *Options) {
	r.lastPause = min(max(2*r.lastPause, o.InitialPause), o.MaxPause)
	r.pausedUntil = now + r.lastPause
}

// sizeFactor returns the work of an item with results of this size relative to the pool's
// nominal item, as estimated from past calls.
func (p *pool) sizeFactor(bytes int64) float64 {
	if f, ok := p.sizeFactors[bytes]; ok {
		return f
	}
	return 1
}

const (
	sizeFactorGain = 0.25 // share of a call's error that corrects its items' factors; settles in about five calls
	minSizeFactor  = 0.05 // of the pool's nominal item; bounds the effect of wrong measurements
	maxSizeFactor  = 4    // likewise
	slowdownWeight = 0.3  // weight of the latest call; a slow replica shows within three calls
	minSlowdown    = 0.02 // calls declared to take seconds may end in tens of ms; also bounds the effect of wrong measurements
	maxSlowdown    = 8    // slower replicas are treated as this slow
)

// recordCallTime updates the estimates with the duration of a call; allSucceeded says whether
// all of its items have results.
func (p *pool) recordCallTime(r *replica, c *call, took time.Duration, allSucceeded bool) {
	fixed := p.def.BatchTime.Seconds()
	counts := make(map[int64]float64)
	for _, x := range c.items {
		counts[x.stage.def.ResultBytes] += p.def.ItemTime.Seconds()
	}
	expected, squares := fixed, 0.0
	for bytes, n := range counts {
		expected += n * p.sizeFactor(bytes)
		squares += n * n
	}
	ratio := took.Seconds() / expected
	if allSucceeded && ratio < r.slowdown/2 {
		// A call can't end before its work is done, so one fast call is enough evidence.
		r.slowdown = clamp(ratio, minSlowdown, maxSlowdown)
	}
	r.slowdown = clamp(r.slowdown+slowdownWeight*(ratio-r.slowdown), minSlowdown, maxSlowdown)
	if ratio > 1.5*r.slowdown || squares == 0 {
		return // caused by the replica rather than by the items
	}
	excess := took.Seconds()/r.slowdown - expected
	for bytes, n := range counts {
		p.sizeFactors[bytes] = clamp(p.sizeFactor(bytes)+sizeFactorGain*excess*n/squares, minSizeFactor, maxSizeFactor)
	}
}

func clamp(x, lower, upper float64) float64 { return min(max(x, lower), upper) }

// batchLimit returns how many items with results of this size a call can hold.
func (p *pool) batchLimit(bytes int64) int {
	n := p.def.MaxBatch
	if bytes > 0 && p.def.ResultMemory > 0 {
		n = min(n, int(p.def.ResultMemory/bytes))
	}
	return max(n, 1)
}

// itemSeconds returns the time that an item adds to a call.
func (p *pool) itemSeconds(bytes int64) float64 {
	return p.def.ItemTime.Seconds() * p.sizeFactor(bytes)
}

// expectedCallTime returns the time that a call with these items takes at a replica with
// slowdown 1.
func (p *pool) expectedCallTime(items []*stageItem) time.Duration {
	t := p.def.BatchTime.Seconds()
	for _, x := range items {
		t += p.itemSeconds(x.stage.def.ResultBytes)
	}
	return time.Duration(t * float64(time.Second))
}

func (p *pool) removeReady(x *stageItem) {
	if i := slices.Index(p.ready, x); i >= 0 {
		p.ready = slices.Delete(p.ready, i, i+1)
	}
}

func (p *pool) sortReady() {
	slices.SortStableFunc(p.ready, func(a, b *stageItem) int {
		return cmp.Or(cmp.Compare(a.stage.job.rank, b.stage.job.rank), cmp.Compare(a.stage.latestStart, b.stage.latestStart),
			cmp.Compare(a.stage.job.id, b.stage.job.id))
	})
}
