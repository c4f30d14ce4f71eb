package buildlog

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// mechanism is something that the design rests on and that the model can do without.
type mechanism string

const (
	allOn               mechanism = ""
	gate                mechanism = "no first event before the log holds its build"
	freshRead           mechanism = "the log is read anew for a stream that is taken up"
	eraCheck            mechanism = "an entry of an earlier era proves nothing"
	incompleteAtFirst   mechanism = "a log that is created late is incomplete"
	firstByEvidence     mechanism = "absent entries alone don't make the first start"
	newestEntryCounts   mechanism = "what the newest entry lacks, or was unlisted, is not confirmed"
	confirmAnew         mechanism = "what was unlisted is confirmed anew"
	twoSteps            mechanism = "builds and routes retire before they leave"
	oneWatch            mechanism = "a gap, or a new era, starts the time until a log settles anew"
	routesInLog         mechanism = "a route that another log holds is unknown"
	olderPeers          mechanism = "logs prove nothing while older instances live"
	recordBeforeLog     mechanism = "records are asked before the log"
	unknownIsRefused    mechanism = "what is not known is refused"
	recordsNameServices mechanism = "a record of another service's build is no leave to go on"
	persistEarlier      mechanism = "records of earlier streams are persisted once the log has several builds"
)

const (
	firstEra  = 1
	settlers  = 2                // instances that settle logs
	watchers  = 4                // others that do their duties in a minute
	serveOn   = 10 * time.Minute // of a replica that is no longer listed
	takenUpIn = 2 * time.Minute  // streams and their records are gone afterwards
)

// replica is one of the platform's servers. A cut one serves on without its entry.
type replica struct {
	service, build string
	isListed       bool
	isCut, isDead  bool
	endsAt         time.Duration // 0: not yet
}

func (r *replica) inList() bool { return r.isListed && !r.isCut && !r.isDead }

// stream is judged by its tries: all must run at the replicas of one build of one service.
type stream struct {
	key            uint64
	route          Route
	namesFirst     bool
	service, build string // of its first event
	began          time.Duration
	at             *instance
}

// world is all that a schedule acts on.
type world struct {
	rng       *rand.Rand
	off       mechanism
	now       time.Duration
	store     store
	routes    map[Route]string // of the newest configuration
	replicas  []*replica
	instances []*instance
	streams   []*stream
	lastKey   uint64
	score     score
}

// score counts what a schedule gave.
type score struct {
	schedules, began, refused            int
	takeUps, soundTakeUps, wentOn        int // sound: a replica of the build is listed
	byRecord, byLog, byStore, joined     int
	reads, writes, refusedWrites, peer   int // calls of the store; messages between instances
	writtenBytes, readBytes, peerBytes   int
	recordWrites, recordReads, settleOps int
	joinedBy                             string
}

func (s *score) add(o *score) {
	s.schedules += o.schedules
	s.began += o.began
	s.refused += o.refused
	s.takeUps += o.takeUps
	s.soundTakeUps += o.soundTakeUps
	s.wentOn += o.wentOn
	s.byRecord += o.byRecord
	s.byLog += o.byLog
	s.byStore += o.byStore
	s.joined += o.joined
	s.settleOps += o.settleOps
	if s.joinedBy == "" {
		s.joinedBy = o.joinedBy
	}
}

const (
	llm    = "llm"
	other  = "other"
	routeA = Route("h/0001/")
	routeB = Route("h/0002/")
)

// newWorld returns a world whose instances start for the first time, or, with older ones, one
// in which streams have begun without a log.
func newWorld(rng *rand.Rand, off mechanism, instances int, older int) *world {
	w := &world{rng: rng, off: off, routes: map[Route]string{routeA: llm, routeB: other}}
	w.store = store{entries: make(map[string]Entry), records: make(map[uint64]record), era: firstEra, revision: 10}
	w.store.takeCopy()
	for range 2 {
		w.addReplica(llm, "v1")
		w.addReplica(other, "v1")
	}
	for range older {
		w.start(true)
	}
	for range instances - older {
		w.start(false).isFirst = older == 0
	}
	return w
}

func (w *world) addReplica(service, build string) *replica {
	r := &replica{service: service, build: build, isListed: true}
	w.replicas = append(w.replicas, r)
	return r
}

// unlist makes a replica leave: it serves on for a while.
func (w *world) unlist(r *replica) {
	r.isListed, r.endsAt = false, w.now+time.Duration(w.rng.Int64N(int64(serveOn)))
}

// release replaces the builds of a service; whether the old ones have left is left to chance.
func (w *world) release(service, build string, isDone bool) {
	for _, r := range w.replicas {
		if r.service == service && r.isListed && r.build != build && (isDone || w.rng.IntN(2) == 0) {
			w.unlist(r)
		}
	}
	w.addReplica(service, build)
	w.addReplica(service, build)
}

func (w *world) start(isOlder bool) *instance {
	in := &instance{w: w, isOlder: isOlder, log: New(), list: make(map[*replica]bool), table: make(map[uint64]record), started: w.now}
	w.instances = append(w.instances, in)
	return in
}

// kill ends an instance; one of the newest landing takes its place.
func (w *world) kill(in *instance) {
	in.isDead = true
	i := slices.Index(w.instances, in)
	w.start(false)
	w.instances[i] = w.instances[len(w.instances)-1]
	w.instances = w.instances[:len(w.instances)-1]
}

func (w *world) killAll() {
	for _, in := range slices.Clone(w.instances) {
		w.kill(in)
	}
}

func (w *world) pick() *instance { return w.instances[w.rng.IntN(len(w.instances))] }

// chance is true in one case of n.
func (w *world) chance(n int) bool { return w.rng.IntN(n) == 0 }

// advance lets time pass, with the duties of the instances.
func (w *world) advance(d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.now = min(end, w.now+time.Minute)
		w.store.carryOut(w.now)
		w.endReplicas()
		w.streams = slices.DeleteFunc(w.streams, func(s *stream) bool { return w.now-s.began > takenUpIn })
		for _, in := range w.instances[:min(settlers, len(w.instances))] {
			in.duty(true)
		}
		for range min(watchers, len(w.instances)-settlers) {
			w.pick().duty(false)
		}
		w.stayWithinLimits()
		w.forget()
	}
}

// stayWithinLimits ends what keeps the list of an instance old for SettleTime. Lists that are
// older than two of them are beyond what the design covers, as limits show.
func (w *world) stayWithinLimits() {
	for _, in := range w.instances {
		if in.hasList && !in.isBeyondLimits && w.now-in.synced > SettleTime {
			in.cutStore, in.oldList = false, false
			in.duty(false)
		}
	}
}

// forget drops the records whose time is over.
func (w *world) forget() {
	isOver := func(_ uint64, r record) bool { return w.now >= r.until }
	maps.DeleteFunc(w.store.records, isOver)
	for _, in := range w.instances {
		maps.DeleteFunc(in.table, isOver)
	}
}

// pass lets time pass in which no instance does its duties.
func (w *world) pass(d time.Duration) {
	w.now += d
	w.store.carryOut(w.now)
	w.endReplicas()
}

func (w *world) endReplicas() {
	w.replicas = slices.DeleteFunc(w.replicas, func(r *replica) bool {
		r.isDead = r.isDead || r.endsAt != 0 && w.now >= r.endsAt
		return r.isDead
	})
}

// judge notes a try of a stream.
func (w *world) judge(s *stream, r *replica, by string) {
	if r.build != s.build || r.service != s.service {
		w.score.joined++
		w.score.joinedBy = by
	}
}

// isSound reports whether a replica of a stream's build is listed.
func (w *world) isSound(s *stream) bool {
	return slices.ContainsFunc(w.replicas, func(r *replica) bool {
		return r.inList() && r.service == s.service && r.build == s.build && w.routes[s.route] == s.service
	})
}

// store is the platform's store. Watches are modelled as reads.
type store struct {
	entries  map[string]Entry
	records  map[uint64]record
	revision uint64
	era      uint64
	isDown   bool
	copies   []store
	late     []lateWrite
}

type record struct {
	service, build string
	until          time.Duration
}

type lateWrite struct {
	at      time.Duration
	service string
	entry   Entry
}

func (s *store) takeCopy() {
	s.copies = append(s.copies, store{entries: maps.Clone(s.entries), records: maps.Clone(s.records), revision: s.revision})
}

// rewind brings the store back from a copy.
func (s *store) rewind(i int) {
	c := s.copies[i]
	s.entries, s.records, s.revision = maps.Clone(c.entries), maps.Clone(c.records), c.revision
	s.copies = s.copies[:i+1]
	s.era++
}

// write does a compare-and-swap.
func (s *store) write(service string, e *Entry) (Entry, bool) {
	if s.isDown || s.entries[service].Revision != e.Revision {
		return Entry{}, false
	}
	s.revision++
	out := *e
	out.Revision = s.revision
	s.entries[service] = out
	return out, true
}

func (s *store) carryOut(now time.Duration) {
	s.late = slices.DeleteFunc(s.late, func(l lateWrite) bool {
		if now < l.at {
			return false
		}
		s.write(l.service, &l.entry)
		return true
	})
}
