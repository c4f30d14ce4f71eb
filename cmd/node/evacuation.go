package node

import (
	"time"

	"quinceroad/coordination/evacuation"
	"quinceroad/protocol/event"
	"quinceroad/protocol/pb"
)

// changeDrainedHalls applies changes of the drained halls, from the store or a peer,
// publishes a new world and announces the changes.
func (n *Node) changeDrainedHalls(from string, apply func(now time.Duration, v *evacuation.View) []evacuation.Change) {
	n.followMu.Lock()
	changes := apply(n.now(), n.drainedHalls)
	revision := n.drainedHalls.Revision()
	n.followMu.Unlock()
	if len(changes) == 0 {
		return
	}
	n.publish()
	for _, c := range changes {
		if c.Drained {
			n.counters.drainedHalls.Inc(1)
			event.NodeHallDrained.Log(n.log, "hall", c.Hall, "from", from, "revision", revision)
			continue
		}
		event.NodeHallReturned.Log(n.log, "hall", c.Hall, "from", from, "revision", revision)
	}
	n.sendHeartbeats()
	if from == fromStore {
		n.announceToHall()
	}
}

// evacuationUpdate returns the drained halls for heartbeats.
func (n *Node) evacuationUpdate() *pb.Evacuations {
	n.followMu.Lock()
	update := n.drainedHalls.Update(n.now())
	n.followMu.Unlock()
	out := &pb.Evacuations{Revision: update.Revision, Emptied: update.Drained}
	for _, r := range update.Returned {
		out.Returned = append(out.Returned, &pb.ReturnedHall{Hall: r.Hall, AgoMs: uint32(r.Age.Milliseconds())})
	}
	return out
}

// mergeEvacuations merges a peer's drained halls.
func (n *Node) mergeEvacuations(from string, e *pb.Evacuations) {
	if e == nil {
		return
	}
	update := evacuation.Update{Revision: e.Revision, Drained: e.Emptied}
	for _, r := range e.Returned {
		update.Returned = append(update.Returned, evacuation.Return{Hall: r.Hall, Age: time.Duration(r.AgoMs) * time.Millisecond})
	}
	n.changeDrainedHalls(from, func(now time.Duration, v *evacuation.View) []evacuation.Change { return v.Merge(now, update) })
}

// replicaAcceptsWork reports whether a replica may get new work, by the newest
// information, which may be newer than the published world.
func (n *Node) replicaAcceptsWork(id string) bool {
	n.followMu.Lock()
	defer n.followMu.Unlock()
	if _, draining := n.replicas.drainSigns[id]; draining || n.advisories.isDraining(id) {
		return false
	}
	row, listed := n.replicas.byIncarnation[id]
	return !listed || row.replica.AcceptsWork() && !n.drainedHalls.IsDrained(row.replica.Hall) && !n.rollouts.withholdsWork(&row.replica)
}
