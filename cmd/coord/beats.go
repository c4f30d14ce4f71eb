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
	beatEvery   = time.Second
	beatTimeout = 700 * time.Millisecond
	newsRounds  = 3 // beats in which a change is passed on
	lostEvery   = 5 // rounds between tries of a dead member or a seed
	pullTimeout = 2 * time.Second
)

// beatLoop beats to the partners every second, and at once when there is news.
func (c *Coord) beatLoop(ctx context.Context) {
	t := time.NewTicker(beatEvery)
	defer t.Stop()
	for round := 0; ; round++ {
		c.tickMembers()
		c.beatAll()
		if round%lostEvery == 0 {
			c.tryLost()
		}
		select {
		case <-ctx.Done():
			return
		case <-c.kick:
		case <-t.C:
		}
	}
}

// kickBeat asks for a beat now.
func (c *Coord) kickBeat() {
	select {
	case c.kick <- struct{}{}:
	default:
	}
}

func (c *Coord) tickMembers() {
	c.membersMu.Lock()
	died := c.view.Tick(c.now())
	for _, m := range died {
		c.news[m.Name] = newsRounds
	}
	c.membersMu.Unlock()
	for _, m := range died {
		event.MemberDead.Log(c.log, "name", m.Name, "incarnation", m.Incarnation)
	}
	if died != nil {
		c.membersChanged()
	}
}

// beatAll sends one beat to each partner and waits for all.
func (c *Coord) beatAll() {
	c.membersMu.RLock()
	partners := make([]membership.Member, 0, 16)
	for _, name := range c.view.HeartbeatTargets() {
		if m, ok := c.view.Get(name); ok {
			partners = append(partners, m)
		}
	}
	c.membersMu.RUnlock()
	beat := c.makeBeat()
	var wg sync.WaitGroup
	var heard atomic.Int32
	for _, m := range partners {
		wg.Go(func() {
			if !c.beatTo(m.CoordAddress, beat) {
				c.silent(m.Name)
				return
			}
			heard.Add(1)
		})
	}
	wg.Wait()
	c.alone.Store(heard.Load() == 0)
}

// reach tells the local entry whether this coord hears from any other.
func (c *Coord) reach() pb.View_Reach {
	if c.alone.Load() {
		return pb.View_ALONE
	}
	return pb.View_TOGETHER
}

// makeBeat takes the news that is due; each item goes out in a few rounds.
func (c *Coord) makeBeat() *pb.Beat {
	rev, _ := c.config()
	b := &pb.Beat{Revision: rev.Revision}
	c.membersMu.Lock()
	b.From = convert.Member(c.view.Self())
	b.Digest = c.view.Digest()
	for name, left := range c.news {
		if m, ok := c.view.Get(name); ok {
			b.Members = append(b.Members, convert.Member(m))
		}
		spend(c.news, name, left)
	}
	c.membersMu.Unlock()
	c.replicasMu.Lock()
	for id, left := range c.signs {
		if r, ok := c.replicas.Get(id); ok {
			b.Leaving = append(b.Leaving, convert.Replica(r))
		}
		spend(c.signs, id, left)
	}
	c.replicasMu.Unlock()
	return b
}

func spend(news map[string]int, key string, left int) {
	if left <= 1 {
		delete(news, key)
		return
	}
	news[key] = left - 1
}

// beatTo sends a beat and takes in the answer; false when there was none.
func (c *Coord) beatTo(addr string, b *pb.Beat) bool {
	var r pb.BeatReply
	c.count.beats.Inc(1)
	if err := c.links.Call(addr, frame.Beat, b, &r, beatTimeout); err != nil {
		c.count.beatsFailed.Inc(1)
		return false
	}
	c.merge(convert.FromMembers(r.GetMembers()))
	c.mergeLeaving(r.GetLeaving(), "peer")
	if r.GetRevision() > b.GetRevision() {
		c.pullConfig(addr, r.GetRevision())
	}
	if r.GetDigest() != c.digest() {
		c.pullMembers(addr)
	}
	return true
}

// serveBeat answers a peer's beat.
func (c *Coord) serveBeat(b *pb.Beat) *pb.BeatReply {
	from := convert.FromMember(b.GetFrom())
	c.merge(append(convert.FromMembers(b.GetMembers()), from))
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

// pullMembers exchanges whole tables; needed only when views differ.
func (c *Coord) pullMembers(addr string) {
	var r pb.Members
	req := &pb.PullMembers{Mine: convert.Members(c.members())}
	if err := c.links.Call(addr, frame.PullMembers, req, &r, pullTimeout); err == nil {
		c.merge(convert.FromMembers(r.GetMembers()))
	}
}

func (c *Coord) servePullMembers(p *pb.PullMembers) *pb.Members {
	c.merge(convert.FromMembers(p.GetMine()))
	return &pb.Members{Members: convert.Members(c.members())}
}

// merge takes in what others say of members and passes on what is news.
func (c *Coord) merge(ms []membership.Member) {
	var changed []membership.Member
	c.membersMu.Lock()
	for _, m := range ms {
		if c.view.Merge(c.now(), m) {
			c.news[m.Name] = newsRounds
			changed = append(changed, m)
		}
	}
	c.membersMu.Unlock()
	for _, m := range changed {
		event.MemberChanged.Log(c.log, "name", m.Name, "state", int(m.State), "incarnation", m.Incarnation, "leaving", m.Leaving)
	}
	if changed != nil {
		c.membersChanged()
		c.kickBeat()
	}
}

func (c *Coord) silent(name string) {
	c.membersMu.Lock()
	m, suspect := c.view.MarkSuspect(c.now(), name)
	if suspect {
		c.news[name] = newsRounds
	}
	c.membersMu.Unlock()
	if suspect {
		event.MemberChanged.Log(c.log, "name", name, "state", int(m.State), "incarnation", m.Incarnation, "leaving", m.Leaving)
	}
}

// updateSelf changes this instance's own entry and passes it on.
func (c *Coord) updateSelf(change func(*membership.Member)) {
	c.membersMu.Lock()
	c.view.Update(change)
	c.news[c.set.Name] = newsRounds
	c.membersMu.Unlock()
	c.membersChanged()
	c.kickBeat()
}

// membersChanged tells those whose work depends on who is there.
func (c *Coord) membersChanged() {
	c.watchers.send(&pb.View{Members: &pb.Members{Members: convert.Members(c.members())}})
}

// tryLost tries one dead member, so that a partition heals, and the seeds
// while no other member is known.
func (c *Coord) tryLost() {
	c.membersMu.RLock()
	lost, ok := c.view.RandomDead(rand.Uint64())
	alone := len(c.view.Live()) == 1
	c.membersMu.RUnlock()
	if ok {
		c.beatTo(lost.CoordAddress, c.makeBeat())
	}
	if alone {
		c.askSeeds()
	}
}

// askSeeds beats to all seeds and waits for their answers: a fresh coord finds
// the fleet by it, and the configuration in force.
func (c *Coord) askSeeds() {
	beat := c.makeBeat()
	var wg sync.WaitGroup
	for _, seed := range c.set.Seeds {
		if seed != c.set.Coord.AdvertisedLink {
			wg.Go(func() { c.beatTo(seed, beat) })
		}
	}
	wg.Wait()
}
