// Package choice picks the replica for a request: for plain services the one
// that is likely to answer first, for engines the one that keeps most of the
// prompt.
//
// It works on the instance's own counts and on the load that replicas tell in
// their answers, which is older the rarer the answers are. It is pure.
package choice

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"quinceroad/coordination/regions"
	"quinceroad/coordination/rendezvous"
	"quinceroad/state/catalog"
)

// Table counts what is under way at each replica. It is not safe for
// concurrent use.
type Table struct {
	rows map[string]*row
}

type row struct {
	own      int // requests of this instance under way
	reported int // requests at it, as it told last
	told     time.Duration
	took     float64 // seconds to an answer, a moving average
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{rows: make(map[string]*row)} }

func (t *Table) row(id string) *row {
	r := t.rows[id]
	if r == nil {
		r = &row{}
		t.rows[id] = r
	}
	return r
}

// Begin counts a request at a replica; End ends it.
func (t *Table) Begin(id string) { t.row(id).own++ }

// End takes in the end of a request and how long the answer took; 0 when there was none.
func (t *Table) End(id string, took time.Duration) {
	r := t.row(id)
	r.own--
	if took > 0 {
		r.took = blend(r.took, took.Seconds())
	}
}

// Told takes in the load that a replica tells: the request it answers is not counted.
func (t *Table) RecordLoad(now time.Duration, id string, atWork int) {
	r := t.row(id)
	r.reported, r.told = max(atWork, 0), now
}

// Took returns the usual time to an answer of a replica, 0 when not known.
func (t *Table) MeanAnswerTime(id string) time.Duration {
	if r := t.rows[id]; r != nil {
		return time.Duration(r.took * float64(time.Second))
	}
	return 0
}

// Forget drops the replicas that keep does not name and that nothing is at.
func (t *Table) Prune(keep func(id string) bool) {
	for id, r := range t.rows {
		if r.own == 0 && !keep(id) {
			delete(t.rows, id)
		}
	}
}

const rate = 0.15 // weight of a new answer's time: the last seven or so count

func blend(old, x float64) float64 {
	if old == 0 {
		return x
	}
	return old + rate*(x-old)
}

// reportLife is how long a told load counts at half.
const reportLife = 400 * time.Millisecond

func (r *row) load(now time.Duration) float64 {
	age := float64(now-r.told) / float64(reportLife)
	return max(float64(r.own), float64(r.reported)*math.Exp2(-age))
}

// Plain picks a replica of a plain service among candidates: of three at
// random, the one with the shortest expected time. Nearer ones come first when
// equal; those of other regions are looked at while those of the own are full.
func (t *Table) PickReplica(now time.Duration, distance func(hall string) regions.Distance, candidates []catalog.Replica, random *rand.Rand) catalog.Replica {
	var near, far []catalog.Replica
	for _, r := range candidates {
		if distance(r.Hall) == regions.Remote {
			far = append(far, r)
		} else {
			near = append(near, r)
		}
	}
	if len(near) == 0 {
		return t.best(now, distance, far, random)
	}
	best := t.best(now, distance, near, random)
	if len(far) == 0 || t.row(best.ID).load(now) < float64(max(best.Slots, 1)) {
		return best
	}
	if other := t.best(now, distance, far, random); t.expected(now, distance, other) < t.expected(now, distance, best) {
		return other
	}
	return best
}

func (t *Table) best(now time.Duration, distance func(hall string) regions.Distance, candidates []catalog.Replica, random *rand.Rand) catalog.Replica {
	best := candidates[random.IntN(len(candidates))]
	for range min(len(candidates)-1, 2) {
		other := candidates[random.IntN(len(candidates))]
		if t.expected(now, distance, other) < t.expected(now, distance, best) {
			best = other
		}
	}
	return best
}

const (
	unknownTime = 0.02  // seconds, of a replica that has not answered yet
	otherHall   = 0.002 // seconds
	otherRegion = 0.06  // seconds there and back, and as much again for the bytes
)

func (t *Table) expected(now time.Duration, distance func(hall string) regions.Distance, r catalog.Replica) float64 {
	x := t.row(r.ID)
	took := x.took
	if took == 0 {
		took = unknownTime
	}
	slots := float64(max(r.Slots, 1))
	waits := x.load(now) / slots
	e := took * (1 + waits*waits*2)
	switch distance(r.Hall) {
	case regions.SameRegion:
		e += otherHall
	case regions.Remote:
		e += otherRegion
	}
	if r.Warming > 0 {
		e *= 2
	}
	return e
}

// Engine is where a stream runs and from where its prompt is fetched.
type Engine struct {
	Replica   catalog.Replica
	FetchFrom string // IP:port of the replica that should keep what this one lacks; "" for none
}

// boundFactor is how much above the average load an engine may be and still
// get the requests whose prompt it keeps.
const (
	boundFactor = 1.5 // consistent hashing with bounded loads: 1.25 to 2 are usual
	boundSlack  = 4   // requests, so that few of them are not spread for nothing
)

// Engines picks the engine for a request. The homes of a prompt are ranked by
// hash of its longest shared run of parts, so that all instances name the same
// one and those that share parts meet; an overloaded home passes the request
// on, and the next one fetches what it lacks.
func (t *Table) PickEngine(now time.Duration, shared []catalog.Part, own string, candidates []catalog.Replica) Engine {
	key := own
	if len(shared) > 0 {
		key = shared[len(shared)-1].ID
	}
	ranked := slices.Clone(candidates)
	weights := make(map[string]uint64, len(ranked))
	total := 0.0
	for _, r := range ranked {
		weights[r.ID] = rendezvous.Weight(key, r.ID)
		total += t.row(r.ID).load(now)
	}
	slices.SortFunc(ranked, func(a, b catalog.Replica) int {
		if weights[a.ID] > weights[b.ID] {
			return -1
		}
		return 1
	})
	bound := total/float64(len(ranked))*boundFactor + boundSlack
	chosen := ranked[0]
	for _, r := range ranked {
		if t.row(r.ID).load(now) <= bound {
			chosen = r
			break
		}
	}
	return Engine{Replica: chosen, FetchFrom: fetchFrom(shared, chosen, ranked[0], candidates)}
}

func fetchFrom(shared []catalog.Part, chosen, home catalog.Replica, candidates []catalog.Replica) string {
	if len(shared) == 0 {
		return ""
	}
	if chosen.ID != home.ID {
		return home.Address
	}
	if len(shared) < 2 {
		return ""
	}
	first := shared[0].ID
	best, most := catalog.Replica{}, uint64(0)
	for _, r := range candidates {
		if w := rendezvous.Weight(first, r.ID); w >= most {
			best, most = r, w
		}
	}
	if best.ID == chosen.ID {
		return ""
	}
	return best.Address
}
