package coord

import (
	"context"
	"time"

	"quinceroad/cmd/process"
	"quinceroad/coordination/membership"
	"quinceroad/coordination/replicas"
	"quinceroad/protocol/convert"
	"quinceroad/protocol/event"
	"quinceroad/protocol/frame"
	"quinceroad/protocol/pb"
)

const (
	listEvery = time.Second
	listStale = 3 * time.Second // without the hall's reader for so long, read the platform
	listBytes = 12_000.0        // a second that a reader takes from the platform
)

// listLoop keeps the list of replicas: the hall's reader polls the platform,
// the others follow the reader's views.
func (c *Coord) listLoop(ctx context.Context) {
	var following string
	var next time.Duration // when the platform may be read again
	process.Every(ctx, listEvery, func() {
		reader := c.readerOf("list")
		if reader == c.set.Name || c.listAge() > listStale {
			if c.now() >= next {
				next = c.now() + c.pollList()
			}
			return
		}
		if reader != following || c.listAge() > 2*listEvery {
			following = reader
			go c.follow(ctx, reader)
		}
	})
}

func (c *Coord) listAge() time.Duration {
	c.replicasMu.RLock()
	defer c.replicasMu.RUnlock()
	return time.Since(c.listAt)
}

// pollList reads the list and returns how long to wait before the next read: a
// long list is read less often, so that its bytes a second stay the same. What
// can't wait, a replica's leaving, comes by signs.
func (c *Coord) pollList() time.Duration {
	c.count.platformReads.Inc(1)
	list, size, err := c.platform.ListReplicas()
	if err != nil {
		c.count.platformFailed.Inc(1)
		if !c.hasList() {
			c.borrowList()
		}
		return 0
	}
	c.takeList(convert.FromListedReplicas(list))
	return time.Duration(float64(size) / listBytes * float64(time.Second))
}

// hasList reports whether a list was ever had; without one an empty set says
// nothing about the replicas.
func (c *Coord) hasList() bool {
	c.replicasMu.RLock()
	defer c.replicasMu.RUnlock()
	return !c.listAt.IsZero()
}

// borrowList takes a peer's list: a coord that starts while the platform is
// down has no other.
func (c *Coord) borrowList() {
	for _, m := range c.members() {
		if m.Name == c.set.Name || m.State != membership.Alive {
			continue
		}
		var v pb.View
		if c.links.Call(m.CoordAddress, frame.Watch, &pb.Watch{}, &v, beatTimeout) != nil {
			continue
		}
		if list := v.GetReplicas().GetReplicas(); len(list) > 0 {
			c.takeList(convert.FromReplicas(list))
			return
		}
	}
}

// follow takes the reader's views of replicas until the stream ends.
func (c *Coord) follow(ctx context.Context, reader string) {
	c.membersMu.RLock()
	m, ok := c.view.Get(reader)
	c.membersMu.RUnlock()
	if !ok {
		return
	}
	s, err := c.links.Open(m.CoordAddress, frame.Watch, &pb.Watch{})
	if err != nil {
		return
	}
	defer s.Close()
	for ctx.Err() == nil && c.readerOf("list") == reader {
		var v pb.View
		if err := s.SetReadDeadline(time.Now().Add(listStale)); err != nil {
			return
		}
		if err := frame.Read(s, &v); err != nil {
			return
		}
		if v.GetReplicas() != nil {
			c.takeList(convert.FromReplicas(v.GetReplicas().GetReplicas()))
		}
		c.replicasMu.Lock()
		c.listAt = time.Now() // the views' heartbeat says that nothing changed
		c.replicasMu.Unlock()
	}
}

// takeList merges a whole list and passes on what changed.
func (c *Coord) takeList(list []replicas.Replica) {
	c.replicasMu.Lock()
	before := make(map[string]bool)
	for _, r := range c.replicas.All() {
		before[r.ID] = r.Leaving
	}
	changed := c.replicas.ReplaceAll(list)
	c.listAt = time.Now()
	all := c.replicas.All()
	var leaves []replicas.Replica
	for _, r := range all {
		if r.Leaving && !before[r.ID] {
			c.signs[r.ID] = newsRounds
			leaves = append(leaves, r)
		}
	}
	c.replicasMu.Unlock()
	c.logLeaving(leaves, "list")
	if changed {
		c.replicasChanged(all)
	}
}

// mergeLeaving takes in signs that replicas leave.
func (c *Coord) mergeLeaving(signs []*pb.Replica, from string) {
	if len(signs) == 0 {
		return
	}
	c.replicasMu.Lock()
	var news []replicas.Replica
	for _, s := range signs {
		if c.replicas.MarkLeaving(s.GetId(), s.GetIncarnation()) {
			c.signs[s.GetId()] = newsRounds
			news = append(news, convert.FromReplica(s))
		}
	}
	all := c.replicas.All()
	c.replicasMu.Unlock()
	if news == nil {
		return
	}
	c.logLeaving(news, from)
	c.replicasChanged(all)
	c.kickBeat()
}

func (c *Coord) logLeaving(rs []replicas.Replica, sign string) {
	for _, r := range rs {
		event.ReplicaDraining.Log(c.log, "replica", r.ID, "incarnation", r.Incarnation, "sign", sign)
	}
}

func (c *Coord) replicasChanged(all []replicas.Replica) {
	c.owner.configure()
	c.watchers.send(&pb.View{Replicas: &pb.Replicas{Replicas: convert.Replicas(all)}})
}
