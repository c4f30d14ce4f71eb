package node

import (
	"time"

	"quinceroad/coordination/advisory"
	"quinceroad/coordination/drains"
	"quinceroad/coordination/history"
	"quinceroad/coordination/listing"
	"quinceroad/coordination/regions"
	"quinceroad/protocol/event"
	"quinceroad/state/catalog"
)

// snapshot is a consistent view of the configuration and the replicas. It is immutable
// once it is in force.
type snapshot struct {
	config           *catalog.Configuration
	replicasLoaded   bool // the list of replicas was read or received
	divided          bool // the replicas are divided among cells
	list             *listing.List
	rolloutByService map[string]*trafficShift
	regionMap        *regions.Map
}

// eligible returns the replicas of a service that accept work. The result is shared; the
// caller must not change it.
func (snap *snapshot) eligible(service string) []catalog.Replica { return snap.list.Eligible(service) }

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
	changed := n.refreshReplicas(now)
	n.rollouts.recordRestarts(now, n.snapshot.Load(), changed.restarted)
	shifts := n.rollouts.apply(now, n.config, n.replicas.index)
	snap := &snapshot{config: n.config, replicasLoaded: n.replicas.changeLog.IsLoaded(), divided: n.replicas.divided, list: n.replicas.index.List(), rolloutByService: shifts, regionMap: n.regionMap}
	warming := n.replicas.newlyWarming(now, changed.updated)
	n.snapshot.Store(snap)
	return func() {
		n.logHallsWithoutRegion(snap.list, changed.updated)
		for _, r := range changed.removed {
			n.recordReplicaRemoval(r.ID)
		}
		n.handleReplicaRestarts(changed.restarted)
		n.logInvalidEntries(changed.invalid, snap.list.Len())
		for _, r := range warming {
			event.NodeReplicaWarming.Log(n.log, "replica", r.ID, "hall", r.Hall, "for", r.WarmingUntil-now)
		}
		n.owner.refreshCells()
		n.origins.Refresh()
	}
}

// replicasLoaded reports whether the list of replicas was ever read or received.
func (n *Node) replicasLoaded() bool {
	n.watchedMu.Lock()
	defer n.watchedMu.Unlock()
	return n.replicas.changeLog.IsLoaded()
}

// replicasKnownAt returns the point in the store's history up to which this instance has all
// changes of the replicas.
func (n *Node) replicasKnownAt() history.Point {
	n.watchedMu.Lock()
	defer n.watchedMu.Unlock()
	return n.replicas.changeLog.At()
}

// lastReplicaChange returns the point of the newest change of the replicas that this
// instance has received.
func (n *Node) lastReplicaChange() history.Point {
	n.watchedMu.Lock()
	defer n.watchedMu.Unlock()
	return n.replicas.changeLog.LastChange()
}

// recordInferredDrain records a drain that this instance or a peer has inferred from the
// given sign. A drain that the replica states itself lasts for its whole incarnation (see
// recordStatedDrain).
func (n *Node) recordInferredDrain(id, sign string) { n.addInferredDrain(id, sign, drains.Strong) }

// recordRefusalDrain records a drain that is inferred from a refusal that closed its connection.
func (n *Node) recordRefusalDrain(r *catalog.Replica) {
	listed, _, eligible := n.snapshot.Load().list.Count(r.Service)
	if !drains.MayInferWeakly(listed, eligible) {
		n.counters.overruledDrains.Inc(1)
		return
	}
	n.addInferredDrain(r.ID, "answer", drains.Weak)
}

func (n *Node) addInferredDrain(id, sign string, s drains.Strength) {
	n.watchedMu.Lock()
	isNew := n.replicas.inferredDrains.Add(n.now(), id, s)
	if isNew {
		n.replicas.outdated[id] = true
	}
	n.watchedMu.Unlock()
	if !isNew {
		return
	}
	event.NodeReplicaDraining.Log(n.log, "replica", id, "sign", sign)
	n.publishSnapshot()
}

// endRefusalDrain ends a drain that was inferred from a refusal, as the replica has served a
// request.
func (n *Node) endRefusalDrain(id string) {
	n.watchedMu.Lock()
	isOver := n.replicas.inferredDrains.RecordServed(id)
	if isOver {
		n.replicas.outdated[id] = true
	}
	n.watchedMu.Unlock()
	if isOver {
		n.counters.overruledDrains.Inc(1)
		n.publishSnapshot()
	}
}

// drainUpdates returns the draining replicas to announce to other instances. The drains
// of the first stated ones were stated by the replicas, the others are inferred.
func (n *Node) drainUpdates() (out []string, stated int) {
	n.advisories.withTracker(func(t *advisory.Tracker) { out = t.Updates(n.now(), drainAnnounceWindow, maxDrainsPerHeartbeat) })
	stated = len(out)
	n.expireInferredDrains()
	out = append(out, n.recentInferredDrains(maxDrainsPerHeartbeat-stated)...)
	return n.announcedReplicaIDs(out), stated
}

// expireInferredDrains ends the inferred drains whose replicas are to be tried again.
func (n *Node) expireInferredDrains() {
	n.watchedMu.Lock()
	expired := n.replicas.inferredDrains.Expire(n.now())
	for _, id := range expired {
		n.replicas.outdated[id] = true
	}
	n.watchedMu.Unlock()
	if len(expired) > 0 {
		n.publishSnapshot()
	}
}

// recentInferredDrains returns at most limit replicas whose drain was inferred recently and is
// told to peers.
func (n *Node) recentInferredDrains(limit int) []string {
	n.watchedMu.Lock()
	defer n.watchedMu.Unlock()
	return n.replicas.inferredDrains.Recent(n.now(), drainAnnounceWindow, limit)
}

const (
	// Time for which heartbeats carry a drain. By then the store's list of replicas, which
	// lags by up to 3 s, shows it too.
	drainAnnounceWindow   = 3 * time.Second
	maxDrainsPerHeartbeat = 16 // keeps a heartbeat within one datagram
)
