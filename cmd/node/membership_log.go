package node

import (
	"quinceroad/coordination/gossip"
	"quinceroad/protocol/event"
)

// maxMembershipLines is the maximum number of lines that one change of the live
// instances logs; the rest is counted in one more line. When all instances of a fleet
// start or a hall is lost, each instance would otherwise log a line for each other one.
const maxMembershipLines = 10

// membershipLog holds the incarnations of the instances that were logged as live.
type membershipLog struct{ logged map[string]loggedInstance }

type loggedInstance struct {
	hall        string
	incarnation uint64
	leaving     bool
}

func newMembershipLog() *membershipLog {
	return &membershipLog{logged: make(map[string]loggedInstance)}
}

// logMembership logs the instances that have joined, restarted or left since the last
// call.
func (n *Node) logMembership(l *membershipLog, alive []gossip.Instance) {
	joined, left := 0, 0
	live := make(map[string]bool, len(alive))
	for i := range alive {
		x := &alive[i]
		live[x.Name] = true
		if old, ok := l.logged[x.Name]; !ok || old.incarnation != x.Incarnation {
			if joined++; joined <= maxMembershipLines {
				event.NodeInstanceAlive.Log(n.log, "name", x.Name, "hall", x.Hall, "incarnation", x.Incarnation)
			}
		}
		l.logged[x.Name] = loggedInstance{hall: x.Hall, incarnation: x.Incarnation, leaving: x.Leaving}
	}
	for name, i := range l.logged {
		if live[name] {
			continue
		}
		if left++; left <= maxMembershipLines {
			event.NodeInstanceDead.Log(n.log, "name", name, "hall", i.hall, "incarnation", i.incarnation, "leaving", i.leaving)
		}
		delete(l.logged, name)
	}
	if unlogged := max(joined-maxMembershipLines, 0) + max(left-maxMembershipLines, 0); unlogged > 0 {
		event.NodeInstancesChanged.Log(n.log, "joined", joined, "left", left, "unlogged", unlogged, "live", len(alive))
	}
}
