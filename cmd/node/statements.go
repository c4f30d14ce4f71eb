package node

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"quinceroad/cmd/process"
	"quinceroad/coordination/advisory"
	"quinceroad/coordination/pace"
	"quinceroad/coordination/pipeline"
	"quinceroad/platform"
	"quinceroad/protocol/event"
)

// statements is what replicas have stated of themselves to this instance, and of
// leaving also to its peers.
type statements struct {
	mu   sync.Mutex
	book *advisory.Tracker
	free map[string]*pipeline.Free // by life that rests: results nobody reads any more

	unread *advisory.UnknownFields
	paces  *pace.Tracker
	told   *pace.RetrySchedule
	paced  atomic.Bool // some replica states a limit

	quiet     bool // nothing was stated at the last sweep; of the sweeps alone
	unlimited bool // nothing was known of limits then; the same
}

func newStatements() *statements {
	return &statements{book: advisory.New(advisory.DefaultOptions()), free: make(map[string]*pipeline.Free), unread: advisory.NewUnknownFields(), paces: pace.New(pace.DefaultOptions()), told: pace.NewRetrySchedule(), quiet: true, unlimited: true}
}

// with runs f on the book.
func (s *statements) with(f func(*advisory.Tracker)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.book)
}

func (s *statements) hasLeft(life string) (left bool) {
	s.with(func(b *advisory.Tracker) { left = b.IsDraining(life) })
	return left
}

// mayLocked reports whether a life may get a request now, and from when on it may. The
// lock is held.
func (s *statements) mayLocked(now time.Duration, life string) (ok bool, from time.Duration) {
	if ok, from = s.book.CanSend(now, life); !ok {
		return false, from
	}
	from = s.paces.NextGrant(now, life)
	return from <= now, from
}

// restsTo returns until when a life wants nothing from this instance.
func (s *statements) restsTo(now time.Duration, life string) (until time.Duration, rests bool) {
	s.with(func(b *advisory.Tracker) { until, rests = b.BackoffUntil(now, life) })
	return until, rests
}

// begin counts a request right before it is sent: a choice may be a second old,
// and what was stated since forbids it as well.
func (s *statements) begin(now time.Duration, life string) (turn advisory.Attempt, ok bool) {
	s.with(func(b *advisory.Tracker) { turn, ok = b.Begin(now, life) })
	return turn, ok
}

func (s *statements) end(turn advisory.Attempt) { s.with(func(b *advisory.Tracker) { b.End(turn) }) }

// stater is who answers: a life of a replica.
type stater struct {
	life    string
	service string
	aside   bool // not to a request or call of pieces, or too late: what it does not say means nothing
}

// takeHead reads an answer's head and takes in what its replica states in it. All
// answers go through here, whatever they are to: what is said is said once.
func (n *Node) takeHead(from stater, turn advisory.Attempt, header *fasthttp.ResponseHeader) platform.Head {
	h := platform.ParseHead(header.StatusCode(), func(name string) string { return string(header.Peek(name)) })
	if from.life == "" || h.Stranger { // another replica speaks of itself
		return h
	}
	for name := range header.All() {
		if !platform.IsRead(string(name)) {
			n.noteUnread(from.service, string(name), "answer")
		}
	}
	n.takeLimit(from, &h)
	if h.Leaves {
		n.takeLeaving(from.life, itsOwn)
	}
	if h.Rest > 0 {
		n.takeRest(from, h.Rest)
	} else {
		n.statements.with(func(b *advisory.Tracker) { b.RecordAnswer(turn) })
	}
	return h
}

// noteUnread takes in a word of a service's replicas that nobody reads: it may ask
// for something, and is to be noticed before it costs.
func (n *Node) noteUnread(service, name, where string) {
	n.counters.wordsUnread.Inc(1)
	s := n.statements
	s.mu.Lock()
	word, isNew := s.unread.Record(service, name)
	s.mu.Unlock()
	if isNew {
		event.NodeWordUnread.Log(n.log, "service", service, "word", word, "in", where)
	}
}

// takeLeaving takes in that a life leaves, by its own or a peer's word. It gets
// nothing more from anybody for as long as it is listed.
func (n *Node) takeLeaving(life, by string) {
	isNew := false
	n.statements.with(func(b *advisory.Tracker) { isNew = b.RecordDrain(n.now(), life) })
	if !isNew {
		return
	}
	event.NodeReplicaSaysLeaves.Log(n.log, "replica", life, "by", by)
	n.publish()
}

// takeRest takes in that a life wants nothing from this instance for so long.
// Others may have been told nothing, or their own: to them it is a hint.
func (n *Node) takeRest(from stater, length time.Duration) {
	now, isNew := n.now(), false
	n.statements.with(func(b *advisory.Tracker) { isNew = b.RecordBackoff(now, from.life, length) })
	n.judgeMu.Lock()
	n.judge.RecordBackoff(now, from.life, length)
	n.judgeMu.Unlock()
	if isNew {
		n.counters.rests.Inc(1)
		event.NodeReplicaRests.Log(n.log, "replica", from.life, "service", from.service, "for", length)
	}
}

// followStatements takes in what time changes of statements.
func (n *Node) followStatements(ctx context.Context) {
	process.Every(ctx, beatEach, n.sweepStatements)
}

// sweepStatements takes in what time has changed of statements.
func (n *Node) sweepStatements() {
	s := n.statements
	n.sweepLimits()
	was := s.quiet
	s.with(func(b *advisory.Tracker) { s.quiet = b.Empty() })
	if s.quiet && was {
		return
	}
	now := n.now()
	listed := make(map[string]string) // service by life
	for _, r := range n.world.Load().all {
		listed[r.ID] = r.Service
	}
	var changes advisory.Changes
	leaving, resting := make(map[string]int64), make(map[string]int64)
	count := func(by map[string]int64, life string) {
		if service, ok := listed[life]; ok {
			by[service]++
		}
	}
	s.with(func(b *advisory.Tracker) {
		changes = b.Expire(now, func(life string) bool { return listed[life] != "" })
		for _, life := range b.Draining() {
			count(leaving, life)
		}
		for life := range b.Backoffs(now) {
			count(resting, life)
		}
	})
	for _, life := range changes.BackoffEnded {
		event.NodeReplicaRested.Log(n.log, "replica", life)
	}
	for _, life := range changes.Removed {
		event.NodeReplicaLeft.Log(n.log, "replica", life)
	}
	n.counters.stated("leaving", leaving)
	n.counters.stated("resting", resting)
}

// restingReplicas returns the replicas of a service that want nothing from this
// instance now: who chooses for it can't know.
func (n *Node) restingReplicas(service string) []string {
	now := n.now()
	resting := make(map[string]time.Duration)
	n.statements.with(func(b *advisory.Tracker) { resting = b.Backoffs(now) })
	if len(resting) == 0 {
		return nil
	}
	var out []string
	for _, r := range n.world.Load().services[service] {
		if _, ok := resting[r.ID]; ok {
			out = append(out, r.ID)
		}
	}
	return out
}

// heldFree keeps results to free until a replica's rest is over, or for a while
// where it states how much it takes, and reports whether it does: one call is enough
// for all of them.
func (n *Node) heldFree(f pipeline.Free) bool {
	now := n.now()
	s := n.statements
	s.mu.Lock()
	defer s.mu.Unlock()
	until, rests := s.book.BackoffUntil(now, f.Replica)
	if !rests {
		each := freesEach(s.paces.Interval(f.Replica))
		if each == 0 {
			return false
		}
		until = now + each
	}
	if held := s.free[f.Replica]; held != nil {
		held.Handles = append(held.Handles, f.Handles...)
		return true
	}
	s.free[f.Replica] = &f
	if holds := n.holdFor(f.Service); until-now > holds {
		until = now + holds // its maker has dropped them by then
	}
	time.AfterFunc(until-now, func() { n.freeHeld(f.Replica) })
	return true
}

// freeHeld frees what was kept for a replica.
func (n *Node) freeHeld(life string) {
	s := n.statements
	s.mu.Lock()
	f := s.free[life]
	delete(s.free, life)
	_, rests := s.book.BackoffUntil(n.now(), life)
	s.mu.Unlock()
	if rests { // for longer than its results last, or anew
		n.logSideCallFailure("free results", life, errStated)
		return
	}
	n.sendFreeResults(*f)
}

var errStated = errors.New("the replica rests or leaves, as it says")

// holdFor is how long results lie at replicas of a service.
func (n *Node) holdFor(service string) time.Duration {
	c := n.world.Load().config
	if c == nil || c.Services[service] == nil || c.Services[service].Pool == nil {
		return 0
	}
	return c.Services[service].Pool.ResultTTL
}
