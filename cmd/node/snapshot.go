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

// snapshot is a consistent view of the configuration and the replicas. It is immutable
// once it is in force.
type snapshot struct {
	config            *catalog.Configuration
	replicasLoaded    bool                         // the list of replicas was read or received
	eligibleByService map[string][]catalog.Replica // replicas that accept work
	serviceSizes      map[string]int               // number of replicas by service, including those of drained halls
	replicas          []catalog.Replica            // includes the draining ones
	incarnationByName map[string]string            // for replicas that report their start time
	rolloutByService  map[string]*trafficShift
	partitionOnce     sync.Once
	partition         cellPartition // cells of the pools' and engines' replicas; computed on first use
	regionMap         *regions.Map
}

// replicaSet holds the store's list of replicas and the inferred drains, which take
// precedence over it.
type replicaSet struct {
	changeLog      *changes.Log
	byName         map[string]replicaRecord
	byIncarnation  map[string]replicaRecord
	inferredDrains map[string]time.Duration // by incarnation: time at which the drain was first inferred
	invalid        map[string]bool          // names of entries that can't be parsed and were logged
	loggedWarming  map[string]time.Duration // end of the warm-up that was logged, by ID
}

// replicaRecord is a parsed entry of the store's list of replicas.
type replicaRecord struct {
	value        []byte // as stored
	replica      catalog.Replica
	warmingUntil time.Duration // end of the warm-up that the replica reports
}

func newReplicaSet() *replicaSet {
	return &replicaSet{
		changeLog:      changes.New(platform.EquivalentReplicas),
		byName:         make(map[string]replicaRecord),
		byIncarnation:  make(map[string]replicaRecord),
		inferredDrains: make(map[string]time.Duration),
	}
}

// replicaSetChanges describes what a refresh has changed.
type replicaSetChanges struct {
	invalid   []string          // names of entries that can't be parsed and were valid or absent before
	removed   []catalog.Replica // incarnations that are no longer listed although no drain was stated or inferred
	restarted []catalog.Replica // incarnations whose replica now runs a newer one
}

// refresh parses the entries that have changed. isDraining reports whether an
// incarnation has stated a drain.
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
		_, drainInferred := s.inferredDrains[incarnation]
		_, nameListed := byName[record.replica.Name]
		switch {
		case listed:
		case nameListed:
			out.restarted = append(out.restarted, record.replica)
		case !drainInferred && !record.replica.Draining && !isDraining(incarnation):
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

// publishSnapshot puts a new snapshot of the current data in force.
func (n *Node) publishSnapshot() {
	n.watchedMu.Lock()
	afterUnlock := n.replaceSnapshot()
	n.watchedMu.Unlock()
	afterUnlock()
}

// replaceSnapshot puts a new snapshot of the current data in force. The caller holds
// watchedMu and calls afterUnlock once it has released it.
func (n *Node) replaceSnapshot() (afterUnlock func()) {
	now := n.now()
	changed := n.replicas.refresh(now, n.advisories.isDraining)
	n.rollouts.recordRestarts(now, n.snapshot.Load(), changed.restarted)
	snap := n.buildSnapshot()
	warming := n.replicas.newlyWarming(now, snap.replicas)
	n.snapshot.Store(snap)
	return func() {
		n.logHallsWithoutRegion(snap.replicas)
		for _, r := range changed.removed {
			n.recordReplicaRemoval(r.ID)
		}
		n.handleReplicaRestarts(changed.restarted)
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
// rollouts. The caller holds watchedMu.
func (n *Node) buildSnapshot() *snapshot {
	snap := &snapshot{
		config: n.config, replicasLoaded: n.replicas.changeLog.IsLoaded(), regionMap: n.regionMap, eligibleByService: make(map[string][]catalog.Replica), serviceSizes: make(map[string]int),
		incarnationByName: make(map[string]string),
	}
	for id, record := range n.replicas.byIncarnation {
		r := record.replica
		if _, ok := n.replicas.inferredDrains[id]; ok || n.advisories.isDraining(id) {
			r.Draining = true
		}
		r.Region = n.regionMap.RegionOf(r.Hall)
		r.HallDrained = n.drainedHalls.IsDrained(r.Hall)
		r.WarmingUntil = n.warmingUntil(snap.config, &record)
		snap.replicas = append(snap.replicas, r)
		if r.StartMillis != 0 {
			snap.incarnationByName[r.Name] = r.ID
		}
		if !r.Draining {
			snap.serviceSizes[r.Service]++
		}
	}
	n.rollouts.applyToSnapshot(n.now(), snap)
	for _, r := range snap.replicas {
		if r.AcceptsWork() {
			snap.eligibleByService[r.Service] = append(snap.eligibleByService[r.Service], r)
		}
	}
	return snap
}

// replicasLoaded reports whether the list of replicas was ever read or received.
func (n *Node) replicasLoaded() bool {
	n.watchedMu.Lock()
	defer n.watchedMu.Unlock()
	return n.replicas.changeLog.IsLoaded()
}

// replicasRevision returns the store revision up to which this instance has all changes
// of the replicas.
func (n *Node) replicasRevision() uint64 {
	n.watchedMu.Lock()
	defer n.watchedMu.Unlock()
	return n.replicas.changeLog.Revision()
}

// lastReplicaChange returns the store revision of the newest change of the replicas that
// this instance has received.
func (n *Node) lastReplicaChange() uint64 {
	n.watchedMu.Lock()
	defer n.watchedMu.Unlock()
	return n.replicas.changeLog.LastChange()
}

// inferredDrainTTL is the time for which an inferred drain is in force. A drain is
// inferred if the replica refuses a request and closes the connection, or if another
// replica answers at its address. This may be wrong, so the replica is tried again
// afterwards. A drain that the replica states itself lasts for its whole incarnation (see
// recordStatedDrain).
const inferredDrainTTL = 2 * time.Minute

// recordInferredDrain records a drain that this instance or a peer has inferred from the
// given sign.
func (n *Node) recordInferredDrain(id, sign string) {
	n.watchedMu.Lock()
	_, known := n.replicas.inferredDrains[id]
	if !known {
		n.replicas.inferredDrains[id] = n.now()
	}
	n.watchedMu.Unlock()
	if known {
		return
	}
	event.NodeReplicaDraining.Log(n.log, "replica", id, "sign", sign)
	n.publishSnapshot()
}

// drainUpdates returns the draining replicas to announce to other instances. The drains
// of the first stated ones were stated by the replicas, the others are inferred.
func (n *Node) drainUpdates() (out []string, stated int) {
	n.advisories.withTracker(func(t *advisory.Tracker) { out = t.Updates(n.now(), drainAnnounceWindow, maxDrainsPerHeartbeat) })
	stated = len(out)
	out = append(out, n.recentInferredDrains(maxDrainsPerHeartbeat-stated)...)
	return n.announcedReplicaIDs(out), stated
}

// recentInferredDrains returns at most limit replicas whose drain was inferred recently.
func (n *Node) recentInferredDrains(limit int) []string {
	n.watchedMu.Lock()
	defer n.watchedMu.Unlock()
	var out []string
	for id, at := range n.replicas.inferredDrains {
		switch age := n.now() - at; {
		case age > inferredDrainTTL:
			delete(n.replicas.inferredDrains, id)
		case age < drainAnnounceWindow && len(out) < limit:
			out = append(out, id)
		}
	}
	return out
}

const (
	// Time for which heartbeats carry a drain. By then the store's list of replicas, which
	// lags by up to 3 s, shows it too.
	drainAnnounceWindow   = 3 * time.Second
	maxDrainsPerHeartbeat = 16 // keeps a heartbeat within one datagram
)
