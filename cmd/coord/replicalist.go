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
	listInterval    = time.Second
	maxListAge      = 3 * time.Second // after this time without the reader's views, any coord reads the platform
	listBytesPerSec = 12_000.0        // maximum mean rate at which a reader reads from the platform; see pollList
)

// listLoop keeps the list of replicas up to date: the hall's reader polls the
// platform, the other coords follow the reader's views.
func (c *Coord) listLoop(ctx context.Context) {
	var followed string
	var nextRead time.Duration // earliest time of the next read
	process.Every(ctx, listInterval, func() {
		reader := c.readerOf("list")
		if reader == c.settings.Name || c.listAge() > maxListAge {
			if c.now() >= nextRead {
				nextRead = c.now() + c.pollList()
			}
			return
		}
		if reader != followed || c.listAge() > 2*listInterval {
			followed = reader
			go c.followReader(ctx, reader)
		}
	})
}

func (c *Coord) listAge() time.Duration {
	c.replicasMu.RLock()
	defer c.replicasMu.RUnlock()
	return time.Since(c.listConfirmed)
}

// pollList reads the list from the platform and returns the time to wait before the
// next read. A longer list is read less often, so that the bytes per second stay the
// same. The urgent change, that a replica is leaving, arrives by gossip instead.
func (c *Coord) pollList() time.Duration {
	c.counters.platformReads.Inc(1)
	list, size, err := c.platform.ListReplicas()
	if err != nil {
		c.counters.platformFailed.Inc(1)
		if !c.hasList() {
			c.fetchPeerList()
		}
		return 0
	}
	c.applyList(convert.FromListedReplicas(list))
	return time.Duration(float64(size) / listBytesPerSec * float64(time.Second))
}

// hasList reports whether a list was ever received; until then an empty set doesn't
// mean that there are no replicas.
func (c *Coord) hasList() bool {
	c.replicasMu.RLock()
	defer c.replicasMu.RUnlock()
	return !c.listConfirmed.IsZero()
}

// fetchPeerList gets the list from a peer, the only source for a coord that starts
// while the platform is down.
func (c *Coord) fetchPeerList() {
	for _, m := range c.members() {
		if m.Name == c.settings.Name || m.State != membership.Alive {
			continue
		}
		var v pb.View
		if c.links.Call(m.CoordAddress, frame.Watch, &pb.Watch{}, &v, heartbeatTimeout) != nil {
			continue
		}
		if list := v.GetReplicas().GetReplicas(); len(list) > 0 {
			c.applyList(convert.FromReplicas(list))
			return
		}
	}
}

// followReader applies the reader's views of the replicas until the stream ends or the reader changes.
func (c *Coord) followReader(ctx context.Context, reader string) {
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
		if err := s.SetReadDeadline(time.Now().Add(maxListAge)); err != nil {
			return
		}
		if err := frame.Read(s, &v); err != nil {
			return
		}
		if v.GetReplicas() != nil {
			c.applyList(convert.FromReplicas(v.GetReplicas().GetReplicas()))
		}
		c.replicasMu.Lock()
		c.listConfirmed = time.Now() // an empty view means that nothing changed
		c.replicasMu.Unlock()
	}
}

// applyList replaces the list and publishes the changes.
func (c *Coord) applyList(list []replicas.Replica) {
	c.replicasMu.Lock()
	before := make(map[string]bool)
	for _, r := range c.replicas.All() {
		before[r.ID] = r.Leaving
	}
	changed := c.replicas.ReplaceAll(list)
	c.listConfirmed = time.Now()
	all := c.replicas.All()
	var newlyLeaving []replicas.Replica
	for _, r := range all {
		if r.Leaving && !before[r.ID] {
			c.leavingUpdates[r.ID] = gossipRounds
			newlyLeaving = append(newlyLeaving, r)
		}
	}
	c.replicasMu.Unlock()
	c.logLeaving(newlyLeaving, "list")
	if changed {
		c.publishReplicas(all)
	}
}

// mergeLeaving records replicas reported to be leaving and passes new reports on.
func (c *Coord) mergeLeaving(leaving []*pb.Replica, source string) {
	if len(leaving) == 0 {
		return
	}
	c.replicasMu.Lock()
	var newlyLeaving []replicas.Replica
	for _, s := range leaving {
		if c.replicas.MarkLeaving(s.GetId(), s.GetIncarnation()) {
			c.leavingUpdates[s.GetId()] = gossipRounds
			newlyLeaving = append(newlyLeaving, convert.FromReplica(s))
		}
	}
	all := c.replicas.All()
	c.replicasMu.Unlock()
	if newlyLeaving == nil {
		return
	}
	c.logLeaving(newlyLeaving, source)
	c.publishReplicas(all)
	c.triggerHeartbeat()
}

func (c *Coord) logLeaving(rs []replicas.Replica, source string) {
	for _, r := range rs {
		event.ReplicaDraining.Log(c.log, "replica", r.ID, "incarnation", r.Incarnation, "sign", source)
	}
}

func (c *Coord) publishReplicas(all []replicas.Replica) {
	c.slotOwner.configure()
	c.watchers.send(&pb.View{Replicas: &pb.Replicas{Replicas: convert.Replicas(all)}})
}
