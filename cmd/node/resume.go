package node

import (
	"time"

	"quinceroad/protocol/event"
)

// handleResume handles a resume after the machine was suspended. Timeouts have expired
// by the clock already. Pending calls to the store predate the suspension and may never
// be answered, so they are abandoned. The peers should receive a heartbeat before they
// select successors for the cells that this instance owns.
func (n *Node) handleResume(gap time.Duration) {
	n.counters.resumes.Inc(1)
	event.NodeResumed.Log(n.log, "after", gap)
	n.storeMonitor.abandonCalls()
	n.sendHeartbeats()
}
