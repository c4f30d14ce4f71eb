package node

import (
	"quinceroad/protocol/event"
	"quinceroad/state/catalog"
)

// handleReplicaRestarts handles replicas that restarted under the same name: requests that
// ran in the previous incarnation are lost and are cancelled at once.
func (n *Node) handleReplicaRestarts(replicas []catalog.Replica) {
	for _, r := range replicas {
		n.counters.replicaRestarts.Inc(1)
		n.recordReplicaRestart(r.ID)
		n.replicaClient.CloseIdle(r.Address)
		event.NodeReplicaRestarted.Log(n.log, "replica", r.ID, "ended", n.activeRequests.Cancel(r.ID))
	}
}
