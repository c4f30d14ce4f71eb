// Package balancer picks the replica for a request: for plain services the one
// with the shortest expected answer time among a few random candidates (power of
// random choices), for engines (replicas that run a model) the one most likely
// to have the longest prefix of the prompt cached (rendezvous hashing with
// bounded loads).
//
// It uses this instance's own request counts and the load that replicas report
// in their answers, which is staler the fewer answers there are. It is pure.
package balancer

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"quinceroad/coordination/regions"
	"quinceroad/coordination/rendezvous"
	"quinceroad/state/catalog"
)

// Balancer tracks the load of each replica and picks replicas by it. It is not
// safe for concurrent use.
type Balancer struct {
	loads map[string]*replicaLoad
}

type replicaLoad struct {
	inFlight          int     // requests of this instance in flight
	reported          int     // requests at the replica, by its last report
	slowdown          float64 // by the same report; 0: not reported
	reportedAt        time.Duration
	meanAnswerSeconds float64 // moving average; 0: unknown
}

// New returns a balancer without recorded loads.
func New() *Balancer { return &Balancer{loads: make(map[string]*replicaLoad)} }

func (b *Balancer) loadOf(id string) *replicaLoad {
	r := b.loads[id]
	if r == nil {
		r = &replicaLoad{}
		b.loads[id] = r
	}
	return r
}

// Begin records that a request was sent to a replica.
func (b *Balancer) Begin(id string) { b.loadOf(id).inFlight++ }

// End records the end of a request and the time until its answer; 0 if there was
// no answer.
func (b *Balancer) End(id string, took time.Duration) {
	r := b.loadOf(id)
	r.inFlight--
	if took > 0 {
		r.meanAnswerSeconds = movingAverage(r.meanAnswerSeconds, took.Seconds())
	}
}

// Load is what a replica reports of itself.
type Load struct {
	Running  int     // requests there, without the one that it just answered
	Slowdown float64 // factor by which work takes longer there at the moment; 0: not reported
}

// RecordLoad records the load that a replica reports.
func (b *Balancer) RecordLoad(now time.Duration, id string, l Load) {
	r := b.loadOf(id)
	r.reported, r.slowdown, r.reportedAt = max(l.Running, 0), l.Slowdown, now
}

// MeanAnswerTime returns the moving average of a replica's answer times; 0 if
// unknown.
func (b *Balancer) MeanAnswerTime(id string) time.Duration {
	if r := b.loads[id]; r != nil {
		return time.Duration(r.meanAnswerSeconds * float64(time.Second))
	}
	return 0
}

// Prune drops the replicas without requests in flight for which keep returns
// false.
func (b *Balancer) Prune(keep func(id string) bool) {
	for id, r := range b.loads {
		if r.inFlight == 0 && !keep(id) {
			delete(b.loads, id)
		}
	}
}

const answerTimeWeight = 0.15 // weight of a new answer time: about the last seven count

func movingAverage(old, x float64) float64 {
	if old == 0 {
		return x
	}
	return old + answerTimeWeight*(x-old)
}

// reportHalfLife is the time after which a reported load counts half.
const reportHalfLife = 400 * time.Millisecond

// current returns the estimated number of requests at the replica: this
// instance's own, or the reported number if that is higher after its decay.
func (r *replicaLoad) current(now time.Duration) float64 {
	age := float64(now-r.reportedAt) / float64(reportHalfLife)
	return max(float64(r.inFlight), float64(r.reported)*math.Exp2(-age))
}

// slowdownHalfLife is the time after which a reported slowdown counts half: it changes many
// times a second, and the mean answer time already contains the usual one.
const (
	slowdownHalfLife = 50 * time.Millisecond
	maxSlowdownAge   = 8 // half-lives after which it is ignored
)

// currentSlowdown returns the factor by which work at the replica probably takes longer now.
func (r *replicaLoad) currentSlowdown(now time.Duration) float64 {
	age := float64(now-r.reportedAt) / float64(slowdownHalfLife)
	if r.slowdown <= 0 || age > maxSlowdownAge {
		return 1
	}
	return 1 + (r.slowdown-1)*math.Exp2(-age)
}

// PickReplica picks the replica of a plain service with the shortest expected
// time of up to three random candidates (power of random choices). The expected
// time includes the distance, so closer replicas win if the loads are similar;
// remote regions are only considered if the best local replica is full.
func (b *Balancer) PickReplica(now time.Duration, distance func(hall string) regions.Distance, candidates []catalog.Replica, random *rand.Rand) catalog.Replica {
	var local, remote []catalog.Replica
	for _, r := range candidates {
		if distance(r.Hall) == regions.Remote {
			remote = append(remote, r)
		} else {
			local = append(local, r)
		}
	}
	if len(local) == 0 {
		return b.bestOfThree(now, distance, remote, random)
	}
	best := b.bestOfThree(now, distance, local, random)
	if len(remote) == 0 || b.loadOf(best.ID).current(now) < float64(max(best.Slots, 1)) {
		return best
	}
	if other := b.bestOfThree(now, distance, remote, random); b.expectedSeconds(now, distance, other) < b.expectedSeconds(now, distance, best) {
		return other
	}
	return best
}

// bestOfThree returns the replica with the shortest expected time of three random
// candidates. They are drawn with replacement, so that a slow replica of a small service is
// still tried now and then.
func (b *Balancer) bestOfThree(now time.Duration, distance func(hall string) regions.Distance, candidates []catalog.Replica, random *rand.Rand) catalog.Replica {
	best := candidates[random.IntN(len(candidates))]
	for range min(len(candidates)-1, 2) {
		other := candidates[random.IntN(len(candidates))]
		if b.expectedSeconds(now, distance, other) < b.expectedSeconds(now, distance, best) {
			best = other
		}
	}
	return best
}

const (
	defaultAnswerTime = 0.02  // seconds, of a replica that has not answered yet
	crossHallTime     = 0.002 // seconds
	crossRegionTime   = 0.06  // seconds: the round trip, and as much again for the transfer
)

// expectedSeconds returns the expected time until a replica's answer, in seconds.
// The mean answer time is multiplied by a factor that grows with the square of
// the utilization, to three if all slots are in use. The time for the distance
// is added, and the sum is doubled while the replica is warming up.
func (b *Balancer) expectedSeconds(now time.Duration, distance func(hall string) regions.Distance, r catalog.Replica) float64 {
	x := b.loadOf(r.ID)
	took := x.meanAnswerSeconds
	if took == 0 {
		took = defaultAnswerTime
	}
	slots := float64(max(r.Slots, 1))
	utilization := x.current(now) / slots
	e := took * (1 + utilization*utilization*2) * x.currentSlowdown(now)
	switch distance(r.Hall) {
	case regions.SameRegion:
		e += crossHallTime
	case regions.Remote:
		e += crossRegionTime
	}
	if r.WarmupLeft > 0 {
		e *= 2
	}
	return e
}

// EngineChoice is the engine chosen for a stream, and where it fetches the
// cached prefix that it lacks.
type EngineChoice struct {
	Replica   catalog.Replica
	FetchFrom string // IP:port of the replica that probably has the prefix cached; "" if nothing is fetched
}

// Load bound, boundFactor times the engines' average load plus boundSlack: an
// engine above it doesn't get the requests whose prompt it has cached.
const (
	boundFactor = 1.5 // consistent hashing with bounded loads; usual values are 1.25 to 2
	boundSlack  = 4   // requests, so that a few requests are not spread needlessly
)

// PickEngine picks the engine for a request. Engines are ranked by rendezvous
// hashing on the longest shared prefix of the prompt, so that all instances
// choose the same home and requests with common parts meet there. If the home
// is overloaded, the next engine in rank runs the request and fetches the
// cached prefix from the home.
func (b *Balancer) PickEngine(now time.Duration, shared []catalog.PromptPart, request string, candidates []catalog.Replica) EngineChoice {
	key := request
	if len(shared) > 0 {
		key = shared[len(shared)-1].ID
	}
	ranked := slices.Clone(candidates)
	weights := make(map[string]uint64, len(ranked))
	total := 0.0
	for _, r := range ranked {
		weights[r.ID] = rendezvous.Weight(key, r.ID)
		total += b.loadOf(r.ID).current(now)
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
		if b.loadOf(r.ID).current(now) <= bound {
			chosen = r
			break
		}
	}
	return EngineChoice{Replica: chosen, FetchFrom: fetchFrom(shared, chosen, ranked[0], candidates)}
}

// fetchFrom returns the address of the replica that probably has cached what the
// chosen one lacks: the home of the whole shared prefix or, if that was chosen,
// the home of the prompts that share only the first part.
func fetchFrom(shared []catalog.PromptPart, chosen, home catalog.Replica, candidates []catalog.Replica) string {
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
	best, highest := catalog.Replica{}, uint64(0)
	for _, r := range candidates {
		if w := rendezvous.Weight(first, r.ID); w >= highest {
			best, highest = r, w
		}
	}
	if best.ID == chosen.ID {
		return ""
	}
	return best.Address
}
