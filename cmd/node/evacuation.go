package node

import (
	"time"

	"quinceroad/coordination/evacuation"
	"quinceroad/protocol/event"
	"quinceroad/protocol/pb"
)

// empty takes in news of which halls are being emptied, by the store's or a
// peer's word, and puts what they change into force at once.
func (n *Node) empty(from string, take func(now time.Duration, v *evacuation.View) []evacuation.Change) {
	n.followMu.Lock()
	changes := take(n.now(), n.emptied)
	revision := n.emptied.Revision()
	n.followMu.Unlock()
	if len(changes) == 0 {
		return
	}
	n.publish()
	for _, c := range changes {
		if c.Drained {
			n.counters.emptied.Inc(1)
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

// emptiedNews is what this instance tells others of the halls.
func (n *Node) emptiedNews() *pb.Evacuations {
	n.followMu.Lock()
	news := n.emptied.Update(n.now())
	n.followMu.Unlock()
	out := &pb.Evacuations{Revision: news.Revision, Emptied: news.Drained}
	for _, r := range news.Returned {
		out.Returned = append(out.Returned, &pb.ReturnedHall{Hall: r.Hall, AgoMs: uint32(r.Age.Milliseconds())})
	}
	return out
}

// takeEmptied takes in what a peer tells of the halls.
func (n *Node) takeEmptied(from string, e *pb.Evacuations) {
	if e == nil {
		return
	}
	news := evacuation.Update{Revision: e.Revision, Drained: e.Emptied}
	for _, r := range e.Returned {
		news.Returned = append(news.Returned, evacuation.Return{Hall: r.Hall, Age: time.Duration(r.AgoMs) * time.Millisecond})
	}
	n.empty(from, func(now time.Duration, v *evacuation.View) []evacuation.Change { return v.Merge(now, news) })
}

// replicaTakes reports whether a replica may get new work, by what is known now.
func (n *Node) replicaTakes(id string) bool {
	n.followMu.Lock()
	defer n.followMu.Unlock()
	if _, leaving := n.replicas.drainSigns[id]; leaving || n.statements.hasLeft(id) {
		return false
	}
	row, known := n.replicas.byIncarnation[id]
	return !known || row.replica.AcceptsWork() && !n.emptied.IsDrained(row.replica.Hall) && !n.rollouts.withholds(&row.replica)
}
