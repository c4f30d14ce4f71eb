package node

import (
	"time"

	"quinceroad/protocol/event"
)

// handleResume handles a resume after the machine was suspended. Timeouts have expired
// by the clock already. Pending calls to the store predate the suspension and may never
// be answered, so they are abandoned; and the peers should receive a heartbeat before
// they select a successor.
func (n *Node) handleResume(gap time.Duration) {
	n.counters.resumes.Inc(1)
	event.NodeResumed.Log(n.log, "after", gap)
	n.storeMonitor.abandonCalls()
	n.sendHeartbeats()
}
