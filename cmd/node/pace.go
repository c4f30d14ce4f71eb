package node

import (
	"context"
	"errors"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"quinceroad/coordination/gossip"
	"quinceroad/coordination/ownership"
	"quinceroad/coordination/pace"
	"quinceroad/platform"
	"quinceroad/protocol/event"
	"quinceroad/protocol/frame"
	"quinceroad/protocol/pb"
	"quinceroad/state/catalog"
)

// Who gives the turns of a replica that states a limit: of pools and engines the
// owner of their cell, who chooses them anyway; of plain services an instance in
// the replica's hall, by rendezvous.

const (
	paceFor       = 150 * time.Millisecond // that a keeper may take to answer: it does so at once
	keeperLost    = 300 * time.Millisecond // that a limited replica is left to others where its keeper does not answer: a heartbeat and a half
	freshLimit    = 3 * time.Second        // that a new word is told by each heartbeat: five rounds reach 390 instances in a second
	mostLimits    = 16                     // words in a heartbeat, which is to stay one datagram
	freeGaps      = 4                      // times between turns, from one call that frees results to the next: what such calls take is no request's
	leastFreeEach = time.Second            // the same at least
)

var (
	errPaced     = errors.New("the replica takes no more for now, as it says")
	errNotKeeper = errors.New("another instance gives the replica's turns")
)

// withPaces runs f on what replicas state that they take.
func (s *statements) withPaces(f func(*pace.Book)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.paces)
	s.paced.Store(s.paces.Any())
}

// limits reports whether a life states how much it takes.
func (s *statements) limits(life string) bool {
	if !s.paced.Load() {
		return false
	}
	stated := false
	s.withPaces(func(b *pace.Book) { stated = b.Limit(life).Stated })
	return stated
}

// takeLimit takes in what an answer says of how much its replica takes.
func (n *Node) takeLimit(from stater, h *platform.Head) {
	switch {
	case h.Unclear != "":
		n.noteUnread(from.service, h.Unclear, "answer")
	case h.Limit.Stated, !from.aside && n.statements.paced.Load():
		n.hearLimit(pace.Word{Life: from.life, Limit: h.Limit}, itsOwn)
	}
}

// hearLimit takes in what a replica states, to this instance or to the one named,
// and tells the others what is new.
func (n *Node) hearLimit(w pace.Word, by string) {
	var was pace.Limit
	change, isNoted := pace.Nothing, false
	n.statements.withPaces(func(b *pace.Book) {
		was = b.Limit(w.Life)
		change = b.Hear(n.now(), w)
		isNoted = change != pace.Nothing && b.WorthALine(n.now(), w.Life)
	})
	if change != pace.Nothing && by == itsOwn {
		n.tellKeeper(w.Life)
	}
	if !isNoted {
		return
	}
	switch change {
	case pace.Began, pace.Moved:
		before := -1.0
		if was.Stated {
			before = was.PerSecond
		}
		event.NodeReplicaLimits.Log(n.log, "replica", w.Life, "service", n.serviceOf(w.Life), "per_second", w.Limit.PerSecond, "was", before, "by", by)
	case pace.Ended:
		event.NodeReplicaUnlimited.Log(n.log, "replica", w.Life, "by", by)
	}
	if by == itsOwn {
		n.tell()
	}
}

// itsOwn stands in log lines for a replica's own answer to this instance.
const itsOwn = "its own"

// replicaOf returns a listed replica by its life.
func (w *world) replicaOf(life string) (catalog.Replica, bool) {
	for _, r := range w.all {
		if r.ID == life {
			return r, true
		}
	}
	return catalog.Replica{}, false
}

func (n *Node) serviceOf(life string) string {
	r, _ := n.world.Load().replicaOf(life)
	return r.Service
}

// keepers finds who gives replicas' turns by one view.
type keepers struct {
	node   *Node
	world  *world
	alive  []gossip.Instance
	owners map[int][]gossip.Instance // by cell: the first in line; none where nobody is
}

func (n *Node) keepers() *keepers {
	return &keepers{node: n, world: n.world.Load(), alive: n.alive(), owners: make(map[int][]gossip.Instance)}
}

// of returns who gives a replica's turns; false where nobody does.
func (k *keepers) of(r *catalog.Replica) (gossip.Instance, bool) {
	cell, pooled := k.world.cellHolding(r.ID)
	if !pooled {
		return pace.Keeper(k.alive, r.ID, pace.Place{Hall: r.Hall, Region: r.Region})
	}
	owners, known := k.owners[cell]
	if !known {
		owners = ownership.Rank(k.alive, cell, r.Region)
		k.owners[cell] = owners[:min(len(owners), 1)]
	}
	if len(owners) == 0 {
		return gossip.Instance{}, false
	}
	return owners[0], true
}

// isSelf reports whether this instance gives a replica's turns: by its view, or as
// the others take it for the owner.
func (k *keepers) isSelf(r *catalog.Replica) bool {
	if cell, ok := k.world.cellHolding(r.ID); ok && k.node.owner.owned(cell) != nil {
		return true
	}
	keeper, ok := k.of(r)
	return ok && keeper.Name == k.node.settings.Name
}

// hasTurn reports whether a request may go to a replica now by what that states
// that it takes, and counts it: with the turn that the owner chose the replica
// with, or one that its keeper gives.
func (s *serving) hasTurn(ctx context.Context, r *catalog.Replica) bool {
	n := s.node
	if !n.statements.paced.Load() {
		return true
	}
	if s.job != nil && s.job.paced && s.job.engine == r.ID {
		s.job.paced = false // it serves once
		n.counters.paced.Inc(1)
		return true
	}
	return n.takePace(ctx, r)
}

// takePace has a turn at a replica, if that states a limit.
func (n *Node) takePace(ctx context.Context, r *catalog.Replica) bool {
	if !n.statements.limits(r.ID) {
		return true
	}
	free, err := n.askPace(ctx, r)
	now := n.now()
	switch {
	case err == nil && free == 0:
		n.counters.paced.Inc(1)
		return true
	case err == nil:
		n.statements.withPaces(func(b *pace.Book) { b.None(r.ID, now+max(free, restLook)) })
	case errors.Is(err, errNotKeeper):
		n.statements.withPaces(func(b *pace.Book) { b.None(r.ID, now+keeperLost) })
	default:
		n.logAside("turn at a limited replica", r.ID, err)
		return n.takeAlone(r.ID)
	}
	n.counters.pacedOut.Inc(1)
	return false
}

// promise returns after which time a caller may come back that had no turn at a
// service's replicas.
func (n *Node) promise(service string, rest *restError) time.Duration {
	perSecond := 0.0
	replicas, instances := n.world.Load().services[service], n.size()
	s := n.statements
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range replicas {
		perSecond += s.paces.Limit(r.ID).PerSecond
	}
	return max(s.told.Promise(service, rest.until, perSecond, instances, newRandom().Float64())-rest.now, backSoon)
}

// takeAlone has a turn of this instance's own part of a limit.
func (n *Node) takeAlone(life string) bool {
	instances, now, ok := n.size(), n.now(), false
	n.statements.withPaces(func(b *pace.Book) {
		if ok = b.TakeAlone(now, life, instances); !ok {
			b.None(life, now+keeperLost)
		}
	})
	if ok {
		n.counters.pacedAlone.Inc(1)
	}
	return ok
}

// askPace asks a replica's keeper for a turn, and returns how long there is none; 0:
// it is had.
func (n *Node) askPace(ctx context.Context, r *catalog.Replica) (time.Duration, error) {
	keeper, ok := n.keepers().of(r)
	if !ok {
		return 0, errNotKeeper
	}
	if keeper.Name == n.settings.Name {
		free, _ := n.givePace(r)
		return free, nil
	}
	reply, err := n.askKeeper(ctx, keeper.Link, r.ID)
	switch {
	case err != nil:
		return 0, err
	case reply.Elsewhere:
		return 0, errNotKeeper
	case reply.Turn:
		return 0, nil
	}
	return max(time.Duration(reply.FreeUs)*time.Microsecond, time.Microsecond), nil
}

// askKeeper asks another instance for a turn. It waits for no longer than a keeper
// takes, though the link may have to be made first: a turn that comes later is lost.
func (n *Node) askKeeper(ctx context.Context, link, life string) (*pb.PaceReply, error) {
	ctx, cancel := context.WithTimeout(ctx, paceFor)
	defer cancel()
	type answer struct {
		reply *pb.PaceReply
		err   error
	}
	answers := make(chan answer, 1)
	go func() {
		stream, err := n.links.Open(link, frame.Pace, &pb.PaceAsk{Limit: n.limitWord(life)})
		if err != nil {
			answers <- answer{err: err}
			return
		}
		defer stream.Close()
		defer context.AfterFunc(ctx, func() { _ = stream.Close() })()
		reply := &pb.PaceReply{}
		err = frame.Read(stream, reply)
		answers <- answer{reply: reply, err: err}
	}()
	select {
	case a := <-answers:
		return a.reply, a.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// limitWord is what this instance knows of a replica's limit, as it is told.
func (n *Node) limitWord(life string) *pb.ReplicaLimit {
	out := &pb.ReplicaLimit{Id: life}
	n.statements.withPaces(func(b *pace.Book) {
		for _, w := range b.Words(n.now(), life) {
			out = limitOf(w)
		}
	})
	return out
}

// givePace gives a turn of a replica, or says how long there is none.
func (n *Node) givePace(r *catalog.Replica) (free time.Duration, ok bool) {
	now := n.now()
	n.statements.withPaces(func(b *pace.Book) {
		b.Keep(now, r.ID, true)
		if ok = b.Take(now, r.ID); !ok {
			free = max(b.Free(now, r.ID)-now, time.Microsecond)
		}
	})
	return free, ok
}

// answerPace answers who asks for a turn.
func (n *Node) answerPace(first []byte, from string) *pb.PaceReply {
	ask := &pb.PaceAsk{}
	if err := proto.Unmarshal(first, ask); err != nil {
		event.NodeMessageBroken.Log(n.log, "what", "ask for a turn at a limited replica", "from", from, "error", err)
		return &pb.PaceReply{Elsewhere: true}
	}
	n.takeLimits(from, []*pb.ReplicaLimit{ask.Limit})
	r, ok := n.world.Load().replicaOf(ask.GetLimit().GetId())
	if !ok || !n.keepers().isSelf(&r) {
		return &pb.PaceReply{Elsewhere: true}
	}
	free, ok := n.givePace(&r)
	return &pb.PaceReply{Turn: ok, FreeUs: free.Microseconds()}
}

// mayAside counts a call beside requests: it is made, and requests wait for it.
func (n *Node) mayAside(life string) bool {
	if n.statements.limits(life) {
		n.statements.withPaces(func(b *pace.Book) { b.Spend(n.now(), life) })
	}
	return true
}

// freesEach is how often results may be freed at a replica whose turns are so far
// apart; 0: at once.
func freesEach(gap time.Duration) time.Duration {
	if gap == 0 {
		return 0
	}
	return max(freeGaps*gap, leastFreeEach)
}

// cellTurns gives the turns of a cell's replicas to its owner itself.
type cellTurns struct{ node *Node }

// Any reports whether any replica states a limit.
func (t cellTurns) Any() bool { return t.node.statements.paced.Load() }

// Free returns when a replica may get the next request.
func (t cellTurns) Free(now time.Duration, life string) (free time.Duration) {
	t.node.statements.withPaces(func(b *pace.Book) {
		b.Keep(now, life, true)
		free = b.Free(now, life)
	})
	return free
}

// Gap returns the time between two requests at a replica; 0: it takes any number.
func (t cellTurns) Gap(life string) (gap time.Duration) {
	t.node.statements.withPaces(func(b *pace.Book) { gap = b.Gap(life) })
	return gap
}

// Spend counts a request that goes to a replica.
func (t cellTurns) Spend(now time.Duration, life string) {
	t.node.statements.withPaces(func(b *pace.Book) { b.Spend(now, life) })
}

// limitNews returns what is worth telling others of limits.
func (n *Node) limitNews() []*pb.ReplicaLimit {
	var out []*pb.ReplicaLimit
	n.statements.withPaces(func(b *pace.Book) {
		for _, w := range b.News(n.now(), freshLimit, mostLimits) {
			out = append(out, limitOf(w))
		}
	})
	return out
}

func limitOf(w pace.Word) *pb.ReplicaLimit {
	return &pb.ReplicaLimit{Id: w.Life, PerSecond: w.Limit.PerSecond, Ended: !w.Limit.Stated, AgeMs: uint32(w.Age.Milliseconds())}
}

// takeLimits takes in what a peer tells of limits.
func (n *Node) takeLimits(from string, all []*pb.ReplicaLimit) {
	for _, l := range all {
		if l.GetId() == "" || len(l.GetId()) > mostLife || !pace.Proper(l.GetPerSecond()) {
			continue
		}
		limit := pace.Limit{}
		if !l.Ended {
			limit = pace.Limit{PerSecond: l.PerSecond, Stated: true}
		}
		n.hearLimit(pace.Word{Life: l.Id, Limit: limit, Age: time.Duration(l.AgeMs) * time.Millisecond}, from)
	}
}

// mostLife bounds a replica's name from a peer, in bytes.
const mostLife = 256

// tellKeeper tells the keeper of a replica what is known of limits, as it gives
// turns by them.
func (n *Node) tellKeeper(life string) {
	r, ok := n.world.Load().replicaOf(life)
	if !ok || n.socket == nil {
		return
	}
	keeper, ok := n.keepers().of(&r)
	if !ok || keeper.Name == n.settings.Name {
		return
	}
	n.introduce([]string{keeper.Datagram})
}

// sweepLimits takes in what time and views have changed of limits.
func (n *Node) sweepLimits() {
	s := n.statements
	if !s.paced.Load() {
		return
	}
	w, now := n.world.Load(), n.now()
	listed := make(map[string]catalog.Replica, len(w.all))
	for _, r := range w.all {
		listed[r.ID] = r
	}
	var lives []string
	s.withPaces(func(b *pace.Book) {
		s.told.Forget(now)
		b.Sweep(now, func(life string) bool { _, ok := listed[life]; return ok })
		lives = b.Lives()
	})
	limited := make(map[string]int64)
	who := n.keepers()
	for _, life := range lives {
		r, ok := listed[life]
		if !ok {
			continue
		}
		limited[r.Service]++
		keeps := who.isSelf(&r)
		s.withPaces(func(b *pace.Book) { b.Keep(now, life, keeps) })
	}
	n.counters.stated("limited", limited)
}

// limitedStates tells, for the dump, what replicas state that they take and who
// gives their turns.
func (n *Node) limitedStates(w *world) map[string]string {
	var limited map[string]float64
	n.statements.withPaces(func(b *pace.Book) { limited = b.Limited() })
	who := n.keepers()
	out := make(map[string]string, len(limited))
	for life, perSecond := range limited {
		keeper := "nobody"
		if r, ok := w.replicaOf(life); ok {
			if k, ok := who.of(&r); ok {
				keeper = k.Name
			}
		}
		out[life] = fmt.Sprintf("%g a second, turns by %s", perSecond, keeper)
	}
	return out
}
