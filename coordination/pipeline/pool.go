package pipeline

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"quinceroad/coordination/warmup"
	"quinceroad/state/catalog"
)

// pool is one service's replicas and the pieces that wait for them.
type pool struct {
	name     string
	def      catalog.Pool
	replicas map[string]*replica
	order    []*replica // the same, by id
	ready    []*piece
	load     load
	room     roomUse
	factors  map[int64]float64
	most     int            // calls in a second to a cold replica; 0: no bound
	sent     *warmup.Window // to cold replicas
	powerWas float64        // of its replicas, until powerTo
	powerTo  time.Duration
	does     float64       // of what its replicas could in full calls, as its queue shows
	restTo   time.Duration // until when all replicas rest, as of the last tick; 0: one does not
}

func newPool(name string) *pool {
	return &pool{
		name:     name,
		replicas: make(map[string]*replica),
		factors:  make(map[int64]float64),
		sent:     warmup.NewWindow(),
		does:     1,
	}
}

// replica is one replica of a pool.
type replica struct {
	catalog.Replica
	leaving  bool
	gone     bool
	call     *call // at work
	held     int64 // bytes of results that lie there, those of its call included
	results  map[string]*holding
	unknown  int64         // bytes of room that others hold there, as its refusals showed
	shownAt  time.Duration // when they did
	speed    float64       // time taken against time expected
	pausedTo time.Duration
	restTo   time.Duration // until when it wants nothing, as it said itself
	pause    time.Duration // the last pause, doubled by the next
	turnFrom time.Duration // when it may get the next call by what it states that it takes
	turnGap  time.Duration // between two of its calls; 0: it states none
}

// holding is one result at its maker.
type holding struct {
	bytes int64
	until time.Duration // after which the maker drops it by itself
}

func (p *pool) put(r catalog.Replica) {
	old := p.replicas[r.ID]
	if old == nil {
		p.replicas[r.ID] = &replica{Replica: r, leaving: r.Leaving, results: make(map[string]*holding), speed: 1}
		return
	}
	old.Replica = r
	old.leaving = old.leaving || r.Leaving // leaving wins within a replica's life
	old.gone = false
}

func (p *pool) dropUnlisted(listed map[string]bool) {
	for id, r := range p.replicas {
		if listed[id] {
			continue
		}
		r.gone = true
		if r.call == nil {
			delete(p.replicas, id)
		}
	}
	p.reorder()
}

func (p *pool) reorder() {
	p.order = slices.SortedFunc(maps.Values(p.replicas), func(a, b *replica) int { return cmp.Compare(a.ID, b.ID) })
}

// takes reports whether a replica may get new work at all.
func (r *replica) takes() bool { return !r.leaving && !r.gone && !r.Emptied && !r.Withheld }

func (r *replica) usable(now time.Duration) bool {
	return r.call == nil && r.takes() && now >= r.pausedTo && now >= r.restTo && now >= r.turnFrom
}

// warm reports whether a replica is, or may get one more call while it is cold.
func (p *pool) warm(now time.Duration, r *replica) bool {
	return p.most == 0 || now >= r.ColdUntil || p.sent.NextAllowed(now, r.ID, p.most) <= now
}

// soon is how long a replica may be left alone and still count as capacity: it
// is full or at work for another owner, and will be free.
const soon = 400 * time.Millisecond

// serving reports whether a replica counts as capacity.
func (r *replica) serving(now time.Duration) bool {
	return r.takes() && (now+soon >= r.pausedTo || r.call != nil)
}

// free is when a replica can take its next call.
func (r *replica) free(now time.Duration) time.Duration {
	if r.call != nil {
		return max(r.call.due, r.turnFrom, now)
	}
	return max(r.pausedTo, r.restTo, r.turnFrom, now)
}

func (r *replica) expire(now time.Duration) {
	for h, res := range r.results {
		if now >= res.until {
			r.drop(h)
		}
	}
}

func (r *replica) drop(handle string) {
	if h := r.results[handle]; h != nil {
		r.held -= h.bytes
		delete(r.results, handle)
	}
}

// taken returns the room that is taken at a replica. What others hold there,
// an earlier owner of the pool for instance, goes as its results run out.
func (r *replica) taken(now time.Duration, holdFor time.Duration) int64 {
	left := 1 - float64(now-r.shownAt)/float64(max(holdFor, time.Millisecond))
	return r.held + int64(max(left, 0)*float64(r.unknown))
}

// full notes that a replica had no room for so many bytes.
func (r *replica) full(now time.Duration, holdFor time.Duration, bytes int64) {
	r.unknown = r.taken(now, holdFor) - r.held + bytes
	r.shownAt = now
}

func (r *replica) fail(now time.Duration, o *Options) {
	r.pause = min(max(2*r.pause, o.PauseFirst), o.PauseMost)
	r.pausedTo = now + r.pause
}

// factor is how much work a piece with results of that size is against the
// pool's usual one; it is learnt from the calls.
func (p *pool) factor(bytes int64) float64 {
	if f, ok := p.factors[bytes]; ok {
		return f
	}
	return 1
}

const (
	learnRate   = 0.25 // of a call's error that is laid on its pieces' factors: some five calls settle it
	leastFactor = 0.05 // of a pool's usual piece; a bound against a wrong measurement
	mostFactor  = 4    // the same above
	speedRate   = 0.3  // weight of the last call: a slow replica shows within three
	leastSpeed  = 0.02 // time taken against expected: calls may be stated for seconds and end in some tens of ms; a bound against a wrong measurement
	mostSpeed   = 8    // slower ones than this are taken for as slow
)

// learn takes in how long a call took, and whether all of its pieces were made.
func (p *pool) learn(r *replica, c *call, took time.Duration, whole bool) {
	fixed := p.def.CallTime.Seconds()
	counts := make(map[int64]float64)
	for _, x := range c.pieces {
		counts[x.stage.def.Bytes] += p.def.ItemTime.Seconds()
	}
	expected, norm := fixed, 0.0
	for bytes, n := range counts {
		expected += n * p.factor(bytes)
		norm += n * n
	}
	ratio := took.Seconds() / expected
	if whole && ratio < r.speed/2 {
		r.speed = clamp(ratio, leastSpeed, mostSpeed) // work can't be done before its time, so one call tells enough
	}
	r.speed = clamp(r.speed+speedRate*(ratio-r.speed), leastSpeed, mostSpeed)
	if ratio > 1.5*r.speed || norm == 0 {
		return // it says something of the replica, not of the pieces
	}
	fault := took.Seconds()/r.speed - expected
	for bytes, n := range counts {
		p.factors[bytes] = clamp(p.factor(bytes)+learnRate*fault*n/norm, leastFactor, mostFactor)
	}
}

func clamp(x, least, most float64) float64 { return min(max(x, least), most) }

// batchOf is how many pieces with results of that size a call can hold.
func (p *pool) batchOf(bytes int64) int {
	n := p.def.Batch
	if bytes > 0 && p.def.Room > 0 {
		n = min(n, int(p.def.Room/bytes))
	}
	return max(n, 1)
}

// item is the time that a piece takes in a call beside the call's fixed time.
func (p *pool) item(bytes int64) float64 { return p.def.ItemTime.Seconds() * p.factor(bytes) }

// callTime is what a call with these pieces should take at a replica of speed 1.
func (p *pool) callTime(pieces []*piece) time.Duration {
	t := p.def.CallTime.Seconds()
	for _, x := range pieces {
		t += p.item(x.stage.def.Bytes)
	}
	return time.Duration(t * float64(time.Second))
}

func (p *pool) unready(x *piece) {
	if i := slices.Index(p.ready, x); i >= 0 {
		p.ready = slices.Delete(p.ready, i, i+1)
	}
}

func (p *pool) sort() {
	slices.SortStableFunc(p.ready, func(a, b *piece) int {
		return cmp.Or(cmp.Compare(a.stage.job.rank, b.stage.job.rank), cmp.Compare(a.stage.latest, b.stage.latest),
			cmp.Compare(a.stage.job.id, b.stage.job.id))
	})
}
