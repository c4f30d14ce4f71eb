package node

import (
	"sync"
	"time"

	"quinceroad/coordination/featurelevel"
	"quinceroad/coordination/gossip"
	"quinceroad/protocol/event"
	"quinceroad/protocol/pb"
	"quinceroad/state/catalog"
)

// buildLevel is the feature level of this build.
const buildLevel = featurelevel.Current

// fleetLevel tracks the feature level that all instances support.
type fleetLevel struct {
	mu      sync.Mutex
	tracker featurelevel.Tracker
}

// observe updates the tracker with the lowest level of all live instances, and reports
// whether the level in force has changed.
func (l *fleetLevel) observe(now time.Duration, lowest uint32) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tracker.Observe(now, []uint32{lowest})
}

func (l *fleetLevel) inForce() uint32 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tracker.InForce()
}

// updateFleetLevel updates the fleet's level with those that the live instances
// announce.
func (n *Node) updateFleetLevel(live *gossip.Live) {
	lowest := live.Derive(lowestLevelKey{}, func() any { return lowestLevel(live.Instances) }).(gossip.Instance)
	previous := n.level.inForce()
	if !n.level.observe(n.now(), lowest.Level) {
		return
	}
	changed := event.NodeFleetLevelRaised
	if n.level.inForce() < previous {
		changed = event.NodeFleetLevelLowered
	}
	changed.Log(n.log, "level", n.level.inForce(), "was", previous, "of", buildLevel, "least", lowest.Name)
}

type lowestLevelKey struct{}

// lowestLevel returns an instance with the lowest level.
func lowestLevel(alive []gossip.Instance) gossip.Instance {
	lowest := alive[0]
	for _, i := range alive {
		if i.Level < lowest.Level {
			lowest = i
		}
	}
	return lowest
}

// incarnationOf returns the incarnation of a replica that a peer refers to. Builds
// without incarnations use the replica's name, which stands for the listed incarnation.
func (n *Node) incarnationOf(id string) string {
	if incarnation, ok := n.snapshot.Load().list.Incarnation(id); ok {
		return incarnation
	}
	return id
}

// incarnationInHeartbeat returns the incarnation of a replica that a heartbeat refers
// to, or false for a name that is meant for older builds: builds that support incarnations
// send names in addition, and the incarnation listed here may already be the next one.
func (n *Node) incarnationInHeartbeat(h *pb.Heartbeat, id string) (string, bool) {
	incarnation, isName := n.snapshot.Load().list.Incarnation(id)
	switch {
	case !isName:
		return id, true
	case len(h.News) > 0 && h.News[0].Level >= featurelevel.ReplicaIncarnations:
		return "", false
	}
	return incarnation, true
}

// usesIncarnations reports whether the sender of a StagesAsk refers to replicas by their
// incarnations. All builds that do so send a fingerprint.
func usesIncarnations(ask *pb.StagesAsk) bool { return ask.Fingerprint != 0 }

// replicaNameOf returns the name of a listed replica by its incarnation, or "" if both
// are the same.
func (snap *snapshot) replicaNameOf(incarnation string) string {
	name := catalog.ReplicaName(incarnation)
	if listed, ok := snap.list.Incarnation(name); !ok || listed != incarnation {
		return ""
	}
	return name
}

// replicaIDFor returns the ID of a replica in the form that the sender of a StagesAsk uses.
func (n *Node) replicaIDFor(incarnation string, ask *pb.StagesAsk) string {
	if usesIncarnations(ask) {
		return incarnation
	}
	if name := n.snapshot.Load().replicaNameOf(incarnation); name != "" {
		return name
	}
	return incarnation
}

// announcedReplicaIDs returns the IDs that identify replicas to all instances: the
// incarnations, followed by the replica names while some instance may understand only these.
func (n *Node) announcedReplicaIDs(incarnations []string) []string {
	snap := n.snapshot.Load()
	if len(incarnations) == 0 || !snap.list.HasNamed() || n.level.inForce() >= featurelevel.ReplicaIncarnations {
		return incarnations
	}
	out := incarnations
	for _, incarnation := range incarnations {
		if name := snap.replicaNameOf(incarnation); name != "" {
			out = append(out, name)
		}
	}
	return out
}
