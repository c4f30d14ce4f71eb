package node

import (
	"time"

	"quinceroad/protocol/event"
)

// woke takes in that the machine was suspended. What ran out meanwhile has run
// out by the clock; what has to be done besides: calls to the store that wait
// were begun before and may never be answered, and the others should hear that
// this instance is back before they ask the next one.
func (n *Node) woke(gap time.Duration) {
	n.counters.resumes.Inc(1)
	event.NodeWoke.Log(n.log, "after", gap)
	n.storeMonitor.missed()
	n.tell()
}
