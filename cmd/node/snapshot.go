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

// snapshot is a consistent view of the configuration and the replicas. It is not changed
// once it is in force.
type snapshot struct {
	config            *catalog.Configuration
	replicasLoaded    bool                         // the list of replicas was read or received
	eligibleByService map[string][]catalog.Replica // replicas that may get work
	serviceSizes      map[string]int               // replicas by service, including those of halls that are being drained
	replicas          []catalog.Replica            // includes the draining ones
	incarnationByName map[string]string            // of replicas that report their start time
	rolloutByService  map[string]*trafficShift
	partsOnce         sync.Once
	parts             cellPartition // of pools and engines; computed on first use
	regions           *regions.Map
}

// replicaSet holds the store's list of replicas and the observed signs that they are
// draining, which take precedence.
type replicaSet struct {
	changeLog     *changes.Log
	byName        map[string]replicaRecord
	byIncarnation map[string]replicaRecord
	drainSigns    map[string]time.Duration // when a sign of draining was first seen, by incarnation
	invalid       map[string]bool          // names of entries that can't be parsed and were logged
	loggedWarming map[string]time.Duration // end of the warm-up that was logged, by ID
}

// replicaRecord is a parsed entry of the store's list of replicas.
type replicaRecord struct {
	value        []byte // as stored
	replica      catalog.Replica
	warmingUntil time.Duration // end of the warm-up that the replica reports
}

func newReplicaSet() *replicaSet {
	return &replicaSet{
		changeLog:     changes.New(platform.EquivalentReplicas),
		byName:        make(map[string]replicaRecord),
		byIncarnation: make(map[string]replicaRecord),
		drainSigns:    make(map[string]time.Duration),
	}
}

// replicaSetChanges describes what a refresh has changed.
type replicaSetChanges struct {
	invalid   []string          // names of entries that can't be parsed and were valid or absent before
	removed   []catalog.Replica // incarnations that are no longer listed although none had announced a drain
	restarted []catalog.Replica // incarnations whose replica now runs a newer one
}

// refresh parses the entries that have changed. isDraining reports whether an
// incarnation has announced its drain.
func (s *replicaSet) refresh(now time.Duration, isDraining func(incarnation string) bool) (out replicaSetChanges) {
	byName, byIncarnation := make(map[string]replicaRecord, len(s.byName)), make(map[string]replicaRecord, len(s.byName))
	invalid := make(map[string]bool)
	s.changeLog.Each(func(id string, value []byte) {
		if record, ok := s.byName[id]; ok && bytes.Equal(record.value, value) {
			byName[id], byIncarnation[record.replica.ID] = record, record
			return
		}
		r, err := platform.ParseReplica(id, value)
		if err != nil {
			invalid[id] = true
			if !s.invalid[id] {
				out.invalid = append(out.invalid, id)
			}
			return
		}
		record := replicaRecord{value: value, replica: r, warmingUntil: now + r.WarmupLeft}
		byName[id], byIncarnation[r.ID] = record, record
	})
	for incarnation, record := range s.byIncarnation {
		_, listed := byIncarnation[incarnation]
		_, hasDrainSign := s.drainSigns[incarnation]
		_, nameListed := byName[record.replica.Name]
		switch {
		case listed:
		case nameListed:
			out.restarted = append(out.restarted, record.replica)
		case !hasDrainSign && !record.replica.Draining && !isDraining(incarnation):
			out.removed = append(out.removed, record.replica)
		}
	}
	s.byName, s.byIncarnation, s.invalid = byName, byIncarnation, invalid
	return out
}

// newlyWarming returns the replicas that are warming up now and were not at the previous
// call.
func (s *replicaSet) newlyWarming(now time.Duration, all []catalog.Replica) []catalog.Replica {
	var out []catalog.Replica
	warming := make(map[string]time.Duration)
	for _, r := range all {
		if r.WarmingUntil <= now {
			continue
		}
		warming[r.ID] = r.WarmingUntil
		if s.loggedWarming[r.ID] <= now {
			out = append(out, r)
		}
	}
	s.loggedWarming = warming
	return out
}

// publish puts a new snapshot of the current data in force.
func (n *Node) publish() {
	n.followMu.Lock()
	afterUnlock := n.replaceSnapshot()
	n.followMu.Unlock()
	afterUnlock()
}

// replaceSnapshot puts a new snapshot of the current data in force. The caller holds
// followMu and calls afterUnlock once it has released it.
func (n *Node) replaceSnapshot() (afterUnlock func()) {
	now := n.now()
	changed := n.replicas.refresh(now, n.advisories.isDraining)
	n.rollouts.recordRestarts(now, n.world.Load(), changed.restarted)
	w := n.buildSnapshot()
	warming := n.replicas.newlyWarming(now, w.replicas)
	n.world.Store(w)
	return func() {
		n.logHallsWithoutRegion(w.replicas)
		for _, r := range changed.removed {
			n.recordReplicaRemoval(r.ID)
		}
		n.handleRestarts(changed.restarted)
		for _, id := range changed.invalid {
			n.counters.invalidEntries.Inc(1)
			event.NodeStoreEntryInvalid.Log(n.log, "name", id)
		}
		for _, r := range warming {
			event.NodeReplicaWarming.Log(n.log, "replica", r.ID, "hall", r.Hall, "for", r.WarmingUntil-now)
		}
		n.owner.refreshCells()
	}
}

// buildSnapshot returns a snapshot of the configuration, the replicas, the halls and the
// rollouts. The caller holds followMu.
func (n *Node) buildSnapshot() *snapshot {
	w := &snapshot{
		config: n.config, replicasLoaded: n.replicas.changeLog.IsLoaded(), regions: n.places, eligibleByService: make(map[string][]catalog.Replica), serviceSizes: make(map[string]int),
		incarnationByName: make(map[string]string),
	}
	for id, record := range n.replicas.byIncarnation {
		r := record.replica
		if _, ok := n.replicas.drainSigns[id]; ok || n.advisories.isDraining(id) {
			r.Draining = true
		}
		r.Region = n.places.RegionOf(r.Hall)
		r.HallDrained = n.drainedHalls.IsDrained(r.Hall)
		r.WarmingUntil = n.warmingUntil(w.config, &record)
		w.replicas = append(w.replicas, r)
		if r.StartMillis != 0 {
			w.incarnationByName[r.Name] = r.ID
		}
		if !r.Draining {
			w.serviceSizes[r.Service]++
		}
	}
	n.rollouts.applyTo(n.now(), w)
	for _, r := range w.replicas {
		if r.AcceptsWork() {
			w.eligibleByService[r.Service] = append(w.eligibleByService[r.Service], r)
		}
	}
	return w
}

// replicasLoaded reports whether the list of replicas was ever read or received.
func (n *Node) replicasLoaded() bool {
	n.followMu.Lock()
	defer n.followMu.Unlock()
	return n.replicas.changeLog.IsLoaded()
}

// replicasRevision returns the store's revision up to which the changes of the replicas
// are known.
func (n *Node) replicasRevision() uint64 {
	n.followMu.Lock()
	defer n.followMu.Unlock()
	return n.replicas.changeLog.Revision()
}

// lastReplicaChange returns the store's revision of the newest known change of the
// replicas.
func (n *Node) lastReplicaChange() uint64 {
	n.followMu.Lock()
	defer n.followMu.Unlock()
	return n.replicas.changeLog.LastChange()
}

// drainSignTTL is how long a sign of draining is kept: a connection closed with a
// refusal, or another replica at the address. The sign may be wrong, so the replica is
// tried again afterwards. A drain that the replica announces itself holds for its whole
// incarnation (see statements).
const drainSignTTL = 2 * time.Minute

// recordDrainSign records a sign that a replica is draining, seen by this instance or a
// peer.
func (n *Node) recordDrainSign(id, sign string) {
	n.followMu.Lock()
	_, known := n.replicas.drainSigns[id]
	if !known {
		n.replicas.drainSigns[id] = n.now()
	}
	n.followMu.Unlock()
	if known {
		return
	}
	event.NodeReplicaDraining.Log(n.log, "replica", id, "sign", sign)
	n.publish()
}

// drainUpdates returns the draining replicas to announce to other instances. The first
// declared of them have announced the drain themselves.
func (n *Node) drainUpdates() (out []string, declared int) {
	n.advisories.withTracker(func(b *advisory.Tracker) { out = b.Updates(n.now(), drainAnnounceTime, maxDrainsPerHeartbeat) })
	declared = len(out)
	out = append(out, n.recentDrainSigns(maxDrainsPerHeartbeat-declared)...)
	return n.announcedReplicaIDs(out), declared
}

// recentDrainSigns returns at most limit replicas that are draining according to recent
// signs.
func (n *Node) recentDrainSigns(limit int) []string {
	n.followMu.Lock()
	defer n.followMu.Unlock()
	var out []string
	for id, at := range n.replicas.drainSigns {
		switch age := n.now() - at; {
		case age > drainSignTTL:
			delete(n.replicas.drainSigns, id)
		case age < drainAnnounceTime && len(out) < limit:
			out = append(out, id)
		}
	}
	return out
}

const (
	drainAnnounceTime     = 3 * time.Second // by then the platform's list of replicas, which lags by up to 3 s, shows it too
	maxDrainsPerHeartbeat = 16              // keeps a heartbeat within one datagram
)
