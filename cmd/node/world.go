package node

import (
	"bytes"
	"sync"
	"time"

	"quinceroad/coordination/advisory"
	"quinceroad/coordination/changes"
	"quinceroad/coordination/regions"
	"quinceroad/platform"
	"quinceroad/protocol/event"
	"quinceroad/state/catalog"
)

// world is a consistent view of the configuration and the replicas.
type world struct {
	config     *catalog.Configuration
	listed     bool                         // the replicas are known
	services   map[string][]catalog.Replica // those that may get work
	sizes      map[string]int               // of the services, those included whose hall is being emptied
	all        []catalog.Replica            // the leaving ones included
	lifeByName map[string]string            // of replicas that say when they were born
	moves      map[string]*trafficShift     // by service: roll-outs
	parting    sync.Once
	parts      parts // of pools and engines; made when they are asked for
	places     *regions.Map
}

// replicaSet is what the store says of the replicas, with what was seen of
// their leaving, which wins.
type replicaSet struct {
	log      *changes.Log
	rows     map[string]replicaRow    // by name
	lives    map[string]replicaRow    // the same, by life
	signs    map[string]time.Duration // of leaving, by life: when one was seen
	broken   map[string]bool          // names of entries that can't be read: a log line has said so
	saidCold map[string]time.Duration // by id: until when a log line has said that it is cold
}

type replicaRow struct {
	value     []byte // as the store has it
	replica   catalog.Replica
	coldUntil time.Duration // by its own word
}

func newReplicaSet() *replicaSet {
	return &replicaSet{
		log:   changes.New(platform.SameReplica),
		rows:  make(map[string]replicaRow),
		lives: make(map[string]replicaRow),
		signs: make(map[string]time.Duration),
	}
}

// refreshed is what reading the list anew has shown.
type refreshed struct {
	broken []string          // names of entries that can't be read and could before, or were not there
	gone   []catalog.Replica // lives that are not listed any more although nobody had said that they would leave
	over   []catalog.Replica // lives whose replica has begun another
}

// refresh reads the rows that have changed.
// left tells which lives have stated that they leave.
func (s *replicaSet) refresh(now time.Duration, left func(life string) bool) (out refreshed) {
	rows, lives := make(map[string]replicaRow, len(s.rows)), make(map[string]replicaRow, len(s.rows))
	broken := make(map[string]bool)
	s.log.Each(func(id string, value []byte) {
		if row, ok := s.rows[id]; ok && bytes.Equal(row.value, value) {
			rows[id], lives[row.replica.ID] = row, row
			return
		}
		r, err := platform.ParseReplica(id, value)
		if err != nil {
			broken[id] = true
			if !s.broken[id] {
				out.broken = append(out.broken, id)
			}
			return
		}
		row := replicaRow{value: value, replica: r, coldUntil: now + r.WarmupLeft}
		rows[id], lives[r.ID] = row, row
	})
	for life, row := range s.lives {
		_, listed := lives[life]
		_, leaves := s.signs[life]
		_, again := rows[row.replica.Name]
		switch {
		case listed:
		case again:
			out.over = append(out.over, row.replica)
		case !leaves && !row.replica.Draining && !left(life):
			out.gone = append(out.gone, row.replica)
		}
	}
	s.rows, s.lives, s.broken = rows, lives, broken
	return out
}

// newlyCold returns the replicas that are cold and were not when it was called last.
func (s *replicaSet) newlyCold(now time.Duration, all []catalog.Replica) []catalog.Replica {
	var out []catalog.Replica
	cold := make(map[string]time.Duration)
	for _, r := range all {
		if r.WarmingUntil <= now {
			continue
		}
		cold[r.ID] = r.WarmingUntil
		if s.saidCold[r.ID] <= now {
			out = append(out, r)
		}
	}
	s.saidCold = cold
	return out
}

// publish makes a new world of what is followed.
func (n *Node) publish() {
	n.followMu.Lock()
	published := n.putInForce()
	n.followMu.Unlock()
	published()
}

// putInForce makes a new world of what is followed, and returns what is to be
// done once followMu, which it needs, is free.
func (n *Node) putInForce() (published func()) {
	now := n.now()
	changed := n.replicas.refresh(now, n.advisories.hasLeft)
	n.rollouts.recordRestarts(now, n.world.Load(), changed.over)
	w := n.makeWorld()
	cold := n.replicas.newlyCold(now, w.all)
	n.world.Store(w)
	return func() {
		n.logUnplaced(w.all)
		for _, r := range changed.gone {
			n.gone(r.ID)
		}
		n.handleRestarts(changed.over)
		for _, id := range changed.broken {
			n.counters.invalidEntries.Inc(1)
			event.NodeEntryBroken.Log(n.log, "name", id)
		}
		for _, r := range cold {
			event.NodeReplicaCold.Log(n.log, "replica", r.ID, "hall", r.Hall, "for", r.WarmingUntil-now)
		}
		n.owner.refresh()
	}
}

// makeWorld returns what is known of the configuration, the replicas, the halls
// and the roll-outs. It needs followMu.
func (n *Node) makeWorld() *world {
	w := &world{
		config: n.config, listed: n.replicas.log.IsLoaded(), places: n.places, services: make(map[string][]catalog.Replica), sizes: make(map[string]int),
		lifeByName: make(map[string]string),
	}
	for id, row := range n.replicas.lives {
		r := row.replica
		if _, ok := n.replicas.signs[id]; ok || n.advisories.hasLeft(id) {
			r.Draining = true
		}
		r.Region = n.places.RegionOf(r.Hall)
		r.HallDrained = n.drainedHalls.IsDrained(r.Hall)
		r.WarmingUntil = n.coldUntil(w.config, &row)
		w.all = append(w.all, r)
		if r.StartMillis != 0 {
			w.lifeByName[r.Name] = r.ID
		}
		if !r.Draining {
			w.sizes[r.Service]++
		}
	}
	n.rollouts.applyTo(n.now(), w)
	for _, r := range w.all {
		if r.AcceptsWork() {
			w.services[r.Service] = append(w.services[r.Service], r)
		}
	}
	return w
}

// listKnown reports whether the list of replicas was ever read.
func (n *Node) listKnown() bool {
	n.followMu.Lock()
	defer n.followMu.Unlock()
	return n.replicas.log.IsLoaded()
}

// listAt is the store's revision up to which the replicas' changes are known.
func (n *Node) listAt() uint64 {
	n.followMu.Lock()
	defer n.followMu.Unlock()
	return n.replicas.log.Revision()
}

// listChanged is the store's revision of the newest change of the replicas known.
func (n *Node) listChanged() uint64 {
	n.followMu.Lock()
	defer n.followMu.Unlock()
	return n.replicas.log.LastChange()
}

// signHolds is how long a sign of leaving is kept, a connection closed with a
// refusal or another replica at the address: it may be wrong, so that the replica
// is tried again. What a replica states itself holds for its life (statements).
const signHolds = 2 * time.Minute

// sawLeaving notes a sign that a replica leaves, seen here or by a peer.
func (n *Node) sawLeaving(id, sign string) {
	n.followMu.Lock()
	_, known := n.replicas.signs[id]
	if !known {
		n.replicas.signs[id] = n.now()
	}
	n.followMu.Unlock()
	if known {
		return
	}
	event.NodeReplicaLeaves.Log(n.log, "replica", id, "sign", sign)
	n.publish()
}

// leavingNews returns the replicas whose leaving is worth telling others, and how
// many of these, the first ones, have stated it themselves.
func (n *Node) leavingNews() (out []string, said int) {
	n.advisories.with(func(b *advisory.Tracker) { out = b.Updates(n.now(), tellLeavingFor, mostLeavingTold) })
	said = len(out)
	out = append(out, n.recentlyLeaving(mostLeavingTold-said)...)
	return n.spokenAll(out), said
}

// recentlyLeaving returns at most so many replicas that signs have shown to leave.
func (n *Node) recentlyLeaving(most int) []string {
	n.followMu.Lock()
	defer n.followMu.Unlock()
	var out []string
	for id, at := range n.replicas.signs {
		switch age := n.now() - at; {
		case age > signHolds:
			delete(n.replicas.signs, id)
		case age < tellLeavingFor && len(out) < most:
			out = append(out, id)
		}
	}
	return out
}

const (
	tellLeavingFor  = 3 * time.Second // after which the list of replicas has told it too: the platform's list lags by up to 3 s
	mostLeavingTold = 16              // replicas in a heartbeat, which is to stay one datagram
)
