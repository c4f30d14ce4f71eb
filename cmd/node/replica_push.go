package node

import (
	"quinceroad/coordination/changes"
	"quinceroad/coordination/history"
	"quinceroad/protocol/event"
	"quinceroad/protocol/pb"
)

// maxPushedChanges bounds the changes in a heartbeat, in bytes, so that it fits one packet
// with the rest. More changes are announced and pulled.
const maxPushedChanges = 900

// announceReplicaChanges sends the changes of the replicas after a point to all
// instances of this instance's hall. Small ones go out with the announcement: if each
// instance pulled them, a reader would answer as many calls as its hall has instances for
// every replica that comes or goes.
func (n *Node) announceReplicaChanges(since history.Point) {
	if n.socket == nil {
		return
	}
	h := n.selfHeartbeat()
	if message, size := n.buildReplicasAnswer(since); !message.Whole && size <= maxPushedChanges {
		h.Replicas, h.ReplicasSince = message, since.Revision
	}
	n.sendToHall(h)
}

// mergePushedChanges applies the changes of the replicas in a heartbeat if this instance
// has all before them. Otherwise it pulls what it lacks, as from any peer with newer data.
func (n *Node) mergePushedChanges(h *pb.Heartbeat) {
	if h.Replicas == nil || h.Replicas.Whole {
		return
	}
	pushed, err := decompressChanges(h.Replicas)
	if err != nil {
		event.NodeMessageInvalid.Log(n.log, "what", "replica changes", "from", senderOf(h), "error", err)
		return
	}
	n.watchedMu.Lock()
	log := n.replicas.changeLog
	update := decodeReplicaChanges(pushed)
	since := history.Point{Era: pushed.Era, Revision: h.ReplicasSince}
	applies := log.IsLoaded() && log.At().Era == pushed.Era && !log.At().Before(since) && log.IsBehind(update.LastChange)
	if applies {
		log.ApplyUpdate(n.now(), update)
	}
	n.watchedMu.Unlock()
	if !applies {
		return
	}
	n.counters.pushedChanges.Inc(int64(len(pushed.Entries)))
	event.NodeReplicasChanged.Log(n.log, "from", senderOf(h), "changes", len(pushed.Entries), "at", pushed.At)
	n.publishSnapshot()
}

func decodeReplicaChanges(m *pb.ReplicaChanges) changes.Update {
	update := changes.Update{
		Full: m.Whole, HasGap: m.Gapped,
		At:         history.Point{Era: m.Era, Revision: m.At},
		LastChange: history.Point{Era: m.Era, Revision: m.Changed},
	}
	for _, e := range m.Entries {
		update.Entries = append(update.Entries, changes.Entry{ID: e.Id, Value: e.Value, Revision: e.Revision, Deleted: e.Gone})
	}
	return update
}
