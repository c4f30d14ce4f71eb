package coord

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"quinceroad/coordination/membership"
	"quinceroad/protocol/convert"
	"quinceroad/protocol/event"
	"quinceroad/protocol/frame"
	"quinceroad/protocol/pb"
)

const (
	heartbeatInterval = time.Second
	heartbeatTimeout  = 700 * time.Millisecond // a member that has not answered by then is suspected
	gossipRounds      = 3                      // rounds of heartbeats that carry a change
	reconnectRounds   = 5                      // rounds between attempts to reach a dead member or the seeds
	pullTimeout       = 2 * time.Second        // of a pull of the configuration or the members
)

// heartbeatLoop sends heartbeats every heartbeatInterval, and at once when there are
// updates to pass on.
func (c *Coord) heartbeatLoop(ctx context.Context) {
	t := time.NewTicker(heartbeatInterval)
	defer t.Stop()
	for round := 0; ; round++ {
		c.expireSuspects()
		c.sendHeartbeats()
		if round%reconnectRounds == 0 {
			c.reconnect()
		}
		select {
		case <-ctx.Done():
			return
		case <-c.heartbeatNow:
		case <-t.C:
		}
	}
}

// triggerHeartbeat makes heartbeatLoop send heartbeats at once.
func (c *Coord) triggerHeartbeat() {
	select {
	case c.heartbeatNow <- struct{}{}:
	default:
	}
}

// expireSuspects declares suspects dead that did not refute the suspicion in time.
func (c *Coord) expireSuspects() {
	c.membersMu.Lock()
	dead := c.view.Tick(c.now())
	for _, m := range dead {
		c.memberUpdates[m.Name] = gossipRounds
	}
	c.membersMu.Unlock()
	for _, m := range dead {
		event.MemberDead.Log(c.log, "name", m.Name, "incarnation", m.Incarnation)
	}
	if dead != nil {
		c.publishMembers()
	}
}

// sendHeartbeats sends one heartbeat to each target and waits for all answers.
func (c *Coord) sendHeartbeats() {
	c.membersMu.RLock()
	targets := make([]membership.Member, 0, 16)
	for _, name := range c.view.HeartbeatTargets() {
		if m, ok := c.view.Get(name); ok {
			targets = append(targets, m)
		}
	}
	c.membersMu.RUnlock()
	heartbeat := c.newHeartbeat()
	var wg sync.WaitGroup
	var replies atomic.Int32
	for _, m := range targets {
		wg.Go(func() {
			if !c.sendHeartbeat(m.CoordAddress, heartbeat) {
				c.markSuspect(m.Name)
				return
			}
			replies.Add(1)
		})
	}
	wg.Wait()
	c.isolated.Store(replies.Load() == 0)
}

// reachability reports, for the local entry, whether any peer answered the last heartbeats.
func (c *Coord) reachability() pb.View_Reach {
	if c.isolated.Load() {
		return pb.View_ALONE
	}
	return pb.View_TOGETHER
}

// newHeartbeat returns a heartbeat with the pending updates; each is sent in
// gossipRounds rounds.
func (c *Coord) newHeartbeat() *pb.Beat {
	rev, _ := c.config()
	b := &pb.Beat{Revision: rev.Revision}
	c.membersMu.Lock()
	b.From = convert.Member(c.view.Self())
	b.Digest = c.view.Digest()
	for name, rounds := range c.memberUpdates {
		if m, ok := c.view.Get(name); ok {
			b.Members = append(b.Members, convert.Member(m))
		}
		countDownRound(c.memberUpdates, name, rounds)
	}
	c.membersMu.Unlock()
	c.replicasMu.Lock()
	for id, rounds := range c.leavingUpdates {
		if r, ok := c.replicas.Get(id); ok {
			b.Leaving = append(b.Leaving, convert.Replica(r))
		}
		countDownRound(c.leavingUpdates, id, rounds)
	}
	c.replicasMu.Unlock()
	return b
}

// countDownRound counts one round of an update and removes it after its last.
func countDownRound(rounds map[string]int, key string, remaining int) {
	if remaining <= 1 {
		delete(rounds, key)
		return
	}
	rounds[key] = remaining - 1
}

// sendHeartbeat sends a heartbeat and merges the answer. It returns false if there was none.
func (c *Coord) sendHeartbeat(addr string, b *pb.Beat) bool {
	var r pb.BeatReply
	c.counters.heartbeats.Inc(1)
	if err := c.links.Call(addr, frame.Beat, b, &r, heartbeatTimeout); err != nil {
		c.counters.heartbeatsFailed.Inc(1)
		return false
	}
	c.mergeMembers(convert.FromMembers(r.GetMembers()))
	c.mergeLeaving(r.GetLeaving(), "peer")
	if r.GetRevision() > b.GetRevision() {
		c.pullConfig(addr, r.GetRevision())
	}
	if r.GetDigest() != c.digest() {
		c.pullMembers(addr)
	}
	return true
}

// serveHeartbeat answers a peer's heartbeat.
func (c *Coord) serveHeartbeat(b *pb.Beat) *pb.BeatReply {
	from := convert.FromMember(b.GetFrom())
	c.mergeMembers(append(convert.FromMembers(b.GetMembers()), from))
	c.mergeLeaving(b.GetLeaving(), "peer")
	rev, _ := c.config()
	if b.GetRevision() > rev.Revision {
		go c.pullConfig(from.CoordAddress, b.GetRevision())
	}
	c.membersMu.RLock()
	defer c.membersMu.RUnlock()
	return &pb.BeatReply{
		Revision: rev.Revision,
		Digest:   c.view.Digest(),
		Members:  []*pb.Member{convert.Member(c.view.Self())},
	}
}

func (c *Coord) digest() uint64 {
	c.membersMu.RLock()
	defer c.membersMu.RUnlock()
	return c.view.Digest()
}

// pullMembers exchanges full member tables with a peer whose digest differs.
func (c *Coord) pullMembers(addr string) {
	var r pb.Members
	req := &pb.PullMembers{Mine: convert.Members(c.members())}
	if err := c.links.Call(addr, frame.PullMembers, req, &r, pullTimeout); err == nil {
		c.mergeMembers(convert.FromMembers(r.GetMembers()))
	}
}

func (c *Coord) servePullMembers(p *pb.PullMembers) *pb.Members {
	c.mergeMembers(convert.FromMembers(p.GetMine()))
	return &pb.Members{Members: convert.Members(c.members())}
}

// mergeMembers merges reported members into the view and queues the changed ones for gossip.
func (c *Coord) mergeMembers(ms []membership.Member) {
	var changed []membership.Member
	c.membersMu.Lock()
	for _, m := range ms {
		if c.view.Merge(c.now(), m) {
			c.memberUpdates[m.Name] = gossipRounds
			changed = append(changed, m)
		}
	}
	c.membersMu.Unlock()
	for _, m := range changed {
		event.MemberChanged.Log(c.log, "name", m.Name, "state", int(m.State), "incarnation", m.Incarnation, "leaving", m.Leaving)
	}
	if changed != nil {
		c.publishMembers()
		c.triggerHeartbeat()
	}
}

// markSuspect records that a member did not answer a heartbeat.
func (c *Coord) markSuspect(name string) {
	c.membersMu.Lock()
	m, suspect := c.view.MarkSuspect(c.now(), name)
	if suspect {
		c.memberUpdates[name] = gossipRounds
	}
	c.membersMu.Unlock()
	if suspect {
		event.MemberChanged.Log(c.log, "name", name, "state", int(m.State), "incarnation", m.Incarnation, "leaving", m.Leaving)
	}
}

// updateSelf changes this instance's own entry and announces it.
func (c *Coord) updateSelf(change func(*membership.Member)) {
	c.membersMu.Lock()
	c.view.Update(change)
	c.memberUpdates[c.settings.Name] = gossipRounds
	c.membersMu.Unlock()
	c.publishMembers()
	c.triggerHeartbeat()
}

// publishMembers sends the members to the watchers.
func (c *Coord) publishMembers() {
	c.watchers.send(&pb.View{Members: &pb.Members{Members: convert.Members(c.members())}})
}

// reconnect sends a heartbeat to one dead member, so that a partition heals, and to
// the seeds while no other member is alive.
func (c *Coord) reconnect() {
	c.membersMu.RLock()
	dead, ok := c.view.RandomDead(rand.Uint64())
	alone := len(c.view.Live()) == 1
	c.membersMu.RUnlock()
	if ok {
		c.sendHeartbeat(dead.CoordAddress, c.newHeartbeat())
	}
	if alone {
		c.contactSeeds()
	}
}

// contactSeeds sends a heartbeat to all seeds and waits for their answers, from which
// a new coord learns the members and the configuration in force.
func (c *Coord) contactSeeds() {
	heartbeat := c.newHeartbeat()
	var wg sync.WaitGroup
	for _, seed := range c.settings.Seeds {
		if seed != c.settings.Coord.AdvertisedLink {
			wg.Go(func() { c.sendHeartbeat(seed, heartbeat) })
		}
	}
	wg.Wait()
}
