package node

import (
	"time"

	"quinceroad/coordination/evacuation"
	"quinceroad/coordination/history"
	"quinceroad/protocol/event"
	"quinceroad/protocol/pb"
)

// changeDrainedHalls applies changes of the drained halls, from the store or a peer,
// publishes a new snapshot and announces the changes.
func (n *Node) changeDrainedHalls(from string, apply func(now time.Duration, v *evacuation.View) []evacuation.Change) {
	n.watchedMu.Lock()
	changes := apply(n.now(), n.drainedHalls)
	at := n.drainedHalls.At()
	n.replicas.allOutdated = n.replicas.allOutdated || len(changes) > 0
	n.watchedMu.Unlock()
	if len(changes) == 0 {
		return
	}
	n.publishSnapshot()
	for _, c := range changes {
		if c.Drained {
			n.counters.drainedHalls.Inc(1)
			event.NodeHallDrained.Log(n.log, "hall", c.Hall, "from", from, "revision", at.Revision)
			continue
		}
		event.NodeHallReturned.Log(n.log, "hall", c.Hall, "from", from, "revision", at.Revision)
	}
	n.sendHeartbeats()
	if from == fromStore {
		n.announceToHall()
	}
}

// drainedHallsUpdate returns the drained halls for heartbeats.
func (n *Node) drainedHallsUpdate() *pb.Evacuations {
	n.watchedMu.Lock()
	update := n.drainedHalls.Update(n.now())
	n.watchedMu.Unlock()
	out := &pb.Evacuations{Revision: update.At.Revision, Era: update.At.Era, Emptied: update.Drained}
	for _, r := range update.Returned {
		out.Returned = append(out.Returned, &pb.ReturnedHall{Hall: r.Hall, AgoMs: uint32(r.Age.Milliseconds())})
	}
	return out
}

// mergeDrainedHalls merges a peer's drained halls.
func (n *Node) mergeDrainedHalls(from string, e *pb.Evacuations) {
	if e == nil {
		return
	}
	update := evacuation.Update{At: history.Point{Era: e.Era, Revision: e.Revision}, Drained: e.Emptied}
	for _, r := range e.Returned {
		update.Returned = append(update.Returned, evacuation.Return{Hall: r.Hall, Age: time.Duration(r.AgoMs) * time.Millisecond})
	}
	n.changeDrainedHalls(from, func(now time.Duration, v *evacuation.View) []evacuation.Change { return v.Merge(now, update) })
}

// replicaAcceptsWork reports whether a replica may get new work according to the newest
// data, which may be newer than the published snapshot.
func (n *Node) replicaAcceptsWork(id string) bool {
	n.watchedMu.Lock()
	defer n.watchedMu.Unlock()
	if n.isDraining(id) {
		return false
	}
	r, listed := n.replicas.index.List().Replica(id)
	return !listed || !r.Draining && !n.drainedHalls.IsDrained(r.Hall) && !n.rollouts.withholdsWork(&r)
}
