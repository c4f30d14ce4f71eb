package node

import (
	"context"
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	"quinceroad/coordination/gossip"
	"quinceroad/coordination/ownership"
	"quinceroad/coordination/pace"
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
	freeGaps      = 4                      // times between turns, from one call that frees results to the next: what such calls take is no request's
	leastFreeEach = time.Second            // the same at least
)

var (
	errPaced     = errors.New("the replica takes no more for now, as it says")
	errNotKeeper = errors.New("another instance gives the replica's turns")
)

// withPaces runs f on what replicas state that they take.
func (s *statements) withPaces(f func(*pace.Tracker)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.paces)
	s.paced.Store(s.paces.HasLimits())
}

// limits reports whether a life states how much it takes.
func (s *statements) limits(life string) bool {
	if !s.paced.Load() {
		return false
	}
	stated := false
	s.withPaces(func(b *pace.Tracker) { stated = b.Limit(life).Stated })
	return stated
}

// keepers finds who gives replicas' turns by one view.
type keepers struct {
	node   *Node
	world  *snapshot
	alive  []gossip.Instance
	owners map[int][]gossip.Instance // by cell: the first in line; none where nobody is
}

func (n *Node) keepers() *keepers {
	return &keepers{node: n, world: n.world.Load(), alive: n.liveInstances(), owners: make(map[int][]gossip.Instance)}
}

// of returns who gives a replica's turns; false where nobody does.
func (k *keepers) of(r *catalog.Replica) (gossip.Instance, bool) {
	cell, pooled := k.world.cellOfReplica(r.ID)
	if !pooled {
		return pace.SelectGrantor(k.alive, r.ID, pace.Location{Hall: r.Hall, Region: r.Region})
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
	if cell, ok := k.world.cellOfReplica(r.ID); ok && k.node.owner.owned(cell) != nil {
		return true
	}
	keeper, ok := k.of(r)
	return ok && keeper.Name == k.node.settings.Name
}

// hasTurn reports whether a request may go to a replica now by what that states
// that it takes, and counts it: with the turn that the owner chose the replica
// with, or one that its keeper gives.
func (s *requestHandler) hasTurn(ctx context.Context, r *catalog.Replica) bool {
	n := s.node
	if !n.statements.paced.Load() {
		return true
	}
	if s.job != nil && s.job.hasSendGrant && s.job.engine == r.ID {
		s.job.hasSendGrant = false // it serves once
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
		n.statements.withPaces(func(b *pace.Tracker) { b.RecordDenial(r.ID, now+max(free, restLook)) })
	case errors.Is(err, errNotKeeper):
		n.statements.withPaces(func(b *pace.Tracker) { b.RecordDenial(r.ID, now+keeperLost) })
	default:
		n.logSideCallFailure("turn at a limited replica", r.ID, err)
		return n.takeAlone(r.ID)
	}
	n.counters.pacedOut.Inc(1)
	return false
}

// promise returns after which time a caller may come back that had no turn at a
// service's replicas.
func (n *Node) promise(service string, rest *restError) time.Duration {
	perSecond := 0.0
	replicas, instances := n.world.Load().eligibleByService[service], n.liveInstanceCount()
	s := n.statements
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range replicas {
		perSecond += s.paces.Limit(r.ID).PerSecond
	}
	return max(s.told.Reserve(service, rest.until, perSecond, instances, newRandom().Float64())-rest.now, shortRetryAfter)
}

// takeAlone has a turn of this instance's own part of a limit.
func (n *Node) takeAlone(life string) bool {
	instances, now, ok := n.liveInstanceCount(), n.now(), false
	n.statements.withPaces(func(b *pace.Tracker) {
		if ok = b.TryLocalGrant(now, life, instances); !ok {
			b.RecordDenial(life, now+keeperLost)
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
	reply, err := n.askKeeper(ctx, keeper.PeerAddress, r.ID)
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
		stream, err := n.links.Open(link, frame.SendGrant, &pb.PaceAsk{Limit: n.limitWord(life)})
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

// givePace gives a turn of a replica, or says how long there is none.
func (n *Node) givePace(r *catalog.Replica) (free time.Duration, ok bool) {
	now := n.now()
	n.statements.withPaces(func(b *pace.Tracker) {
		b.SetGrantor(now, r.ID, true)
		if ok = b.TryGrant(now, r.ID); !ok {
			free = max(b.NextGrant(now, r.ID)-now, time.Microsecond)
		}
	})
	return free, ok
}

// answerPace answers who asks for a turn.
func (n *Node) answerPace(first []byte, from string) *pb.PaceReply {
	ask := &pb.PaceAsk{}
	if err := proto.Unmarshal(first, ask); err != nil {
		event.NodeMessageInvalid.Log(n.log, "what", "ask for a turn at a limited replica", "from", from, "error", err)
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

// countAside counts a call beside requests: it is made, and requests wait for it.
func (n *Node) countAside(life string) {
	if n.statements.limits(life) {
		n.statements.withPaces(func(b *pace.Tracker) { b.Consume(n.now(), life) })
	}
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
func (t cellTurns) HasLimits() bool { return t.node.statements.paced.Load() }

// Free returns when a replica may get the next request.
func (t cellTurns) NextGrant(now time.Duration, life string) (free time.Duration) {
	t.node.statements.withPaces(func(b *pace.Tracker) {
		b.SetGrantor(now, life, true)
		free = b.NextGrant(now, life)
	})
	return free
}

// Gap returns the time between two requests at a replica; 0: it takes any number.
func (t cellTurns) Interval(life string) (gap time.Duration) {
	t.node.statements.withPaces(func(b *pace.Tracker) { gap = b.Interval(life) })
	return gap
}

// Spend counts a request that goes to a replica.
func (t cellTurns) Consume(now time.Duration, life string) {
	t.node.statements.withPaces(func(b *pace.Tracker) { b.Consume(now, life) })
}
