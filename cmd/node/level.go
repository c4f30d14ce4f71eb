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

// thisLevel is what this build understands.
const thisLevel = featurelevel.Current

// fleetLevel is what all instances understand, and what single ones were found
// not to.
type fleetLevel struct {
	mu      sync.Mutex
	fleet   featurelevel.Tracker
	noTurns map[string]uint64 // by name of instances: the life that ended a question for a turn
}

// heard takes in the levels of all that are alive, and reports whether another one
// is in force now.
func (l *fleetLevel) heard(now time.Duration, all []uint32) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fleet.Observe(now, all)
}

func (l *fleetLevel) inForce() uint32 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fleet.InForce()
}

// knowsNoTurns reports whether an instance's build is known to know no turns of
// suspects: such a one is asked once in its life.
func (l *fleetLevel) knowsNoTurns(i gossip.Instance) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	life, ok := l.noTurns[i.Name]
	return ok && life == i.Incarnation
}

func (l *fleetLevel) learnNoTurns(i gossip.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.noTurns == nil {
		l.noTurns = make(map[string]uint64)
	}
	l.noTurns[i.Name] = i.Incarnation
}

// noteLevel takes in which levels those that are alive tell.
func (n *Node) noteLevel(alive []gossip.Instance) {
	levels := make([]uint32, 0, len(alive))
	least := alive[0]
	for _, i := range alive {
		levels = append(levels, i.Level)
		if i.Level < least.Level {
			least = i
		}
	}
	was := n.level.inForce()
	if !n.level.heard(n.now(), levels) {
		return
	}
	moved := event.NodeLevelRises
	if n.level.inForce() < was {
		moved = event.NodeLevelFalls
	}
	moved.Log(n.log, "level", n.level.inForce(), "was", was, "of", thisLevel, "least", least.Name)
}

// lifeOf returns the life of a replica that a peer names. Builds before lives name
// it by its name, which stands for the life that is listed.
func (n *Node) lifeOf(id string) string {
	if life, ok := n.world.Load().lifeByName[id]; ok {
		return life
	}
	return id
}

// lifeToldBy returns the life of a replica that a heartbeat names; false for a
// name that is told for others: builds that know lives tell them beside it, and
// the life that is listed here may be the next one.
func (n *Node) lifeToldBy(h *pb.Heartbeat, id string) (string, bool) {
	life, isName := n.world.Load().lifeByName[id]
	switch {
	case !isName:
		return id, true
	case len(h.News) > 0 && h.News[0].Level >= featurelevel.ReplicaIncarnations:
		return "", false
	}
	return life, true
}

// knowsLives reports whether an ask names replicas by their lives: each build
// since these were named sends a fingerprint.
func knowsLives(ask *pb.StagesAsk) bool { return ask.Fingerprint != 0 }

// nameOf returns a listed replica's name by its life, "" where both are the same.
func (w *world) nameOf(life string) string {
	name := catalog.ReplicaName(life)
	if w.lifeByName[name] != life {
		return ""
	}
	return name
}

// spoken names a replica to who asked, in the words of the ask.
func (n *Node) spoken(life string, ask *pb.StagesAsk) string {
	if knowsLives(ask) {
		return life
	}
	if name := n.world.Load().nameOf(life); name != "" {
		return name
	}
	return life
}

// spokenAll names replicas to anybody: by their names too, after all of them, while
// somebody may know these alone.
func (n *Node) spokenAll(lives []string) []string {
	w := n.world.Load()
	if len(lives) == 0 || len(w.lifeByName) == 0 || n.level.inForce() >= featurelevel.ReplicaIncarnations {
		return lives
	}
	out := lives
	for _, life := range lives {
		if name := w.nameOf(life); name != "" {
			out = append(out, name)
		}
	}
	return out
}
