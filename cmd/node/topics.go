package node

import (
	"context"
	"sync"
	"time"

	"quinceroad/cmd/process"
	"quinceroad/coordination/changes"
	"quinceroad/coordination/evacuation"
	"quinceroad/coordination/history"
	"quinceroad/platform"
	"quinceroad/protocol/event"
)

// followIntent follows what operators write to the store: the configuration, the halls
// to be drained, and the ordered rollouts.
func (n *Node) followIntent(ctx context.Context) {
	var at intentPoint
	f := topicFollower{node: n, storeRecovery: n.storeMonitor.recovery, name: "intent", isLoaded: func() bool { return n.configVersion() > 0 }, knownAt: at.load}
	f.read = func() (func(), error) {
		intent, err := n.store.Intent()
		return func() {
			at.advance(intent.At)
			n.applyIntent(intent)
		}, err
	}
	f.watch = func(wait time.Duration) (func(), error) {
		items, known, err := n.store.Watch(platform.TopicIntent, at.load(), wait)
		return func() {
			if known.Era < at.load().Era {
				return // a late answer of an earlier era
			}
			at.advance(known)
			n.applyIntentChanges(items, at.load())
		}, err
	}
	f.run(ctx)
}

// intentPoint is the point in the store's history up to which the intent was read.
type intentPoint struct {
	mu sync.Mutex
	at history.Point
}

func (p *intentPoint) load() history.Point {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.at
}

func (p *intentPoint) advance(at history.Point) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.at = history.Latest(p.at, at)
}

// applyIntent applies the operators' intent after it was read in full. Drained halls and
// rollouts come first because requests are sent as soon as a configuration is in force.
func (n *Node) applyIntent(i platform.Intent) {
	n.changeDrainedHalls(fromStore, func(now time.Duration, v *evacuation.View) []evacuation.Change {
		return v.Replace(now, i.DrainedHalls, i.At)
	})
	n.replaceRollouts(i.Rollouts, i.At)
	n.applyConfiguration(i.Configuration, fromStore)
}

// applyIntentChanges applies the changes that a watch returned, which include all up to a
// point.
func (n *Node) applyIntentChanges(items []platform.Entry, known history.Point) {
	var entries []evacuation.Entry
	for i := range items {
		if hall, ok := items[i].DrainedHall(); ok {
			entries = append(entries, evacuation.Entry{Hall: hall, Revision: items[i].Revision, Deleted: items[i].Deleted})
		}
	}
	n.changeDrainedHalls(fromStore, func(now time.Duration, v *evacuation.View) []evacuation.Change {
		return v.Apply(now, entries, known)
	})
	n.applyRollouts(items, known)
	for i := range items {
		if items[i].IsConfiguration() && !items[i].Deleted {
			n.applyConfiguration(items[i].Value, fromStore)
		}
	}
}

// fromStore is the origin of updates that come from the store rather than a peer.
const fromStore = "store"

// configVersion returns the version of the configuration in force, or 0 if there is
// none.
func (n *Node) configVersion() uint64 {
	n.watchedMu.Lock()
	defer n.watchedMu.Unlock()
	if n.config == nil {
		return 0
	}
	return n.config.Version
}

// applyConfiguration puts a configuration in force if it is newer than the current one.
// The version never decreases while the process runs.
func (n *Node) applyConfiguration(data []byte, from string) {
	c, err := platform.ParseConfiguration(data)
	if err != nil {
		event.NodeConfigInvalid.Log(n.log, "from", from, "error", err)
		if c == nil {
			return
		}
	}
	n.watchedMu.Lock()
	if n.config != nil && c.Version <= n.config.Version {
		n.watchedMu.Unlock()
		return
	}
	n.config, n.rawConfig = c, &rawConfig{text: data}
	// Replaced together with the version: a caller that sees the new version must not be
	// served by the old configuration.
	afterUnlock := n.replaceSnapshot()
	n.watchedMu.Unlock()
	afterUnlock()
	n.gossipMu.Lock()
	n.members.SetConfigVersion(c.Version)
	n.gossipMu.Unlock()
	event.NodeConfigAdopted.Log(n.log, "version", c.Version, "from", from, "routes", len(c.Routes))
	n.sendHeartbeats()
	if from == fromStore {
		n.announceToHall()
	}
}

func (n *Node) followReplicas(ctx context.Context) {
	var pending unpublishedChanges
	f := topicFollower{node: n, storeRecovery: n.storeMonitor.recovery, name: "replicas", isLoaded: n.replicasLoaded, knownAt: n.replicasKnownAt, watchesAfterPeerUpdate: true}
	f.read = func() (func(), error) {
		items, at, err := n.store.Replicas()
		return func() {
			n.watchedMu.Lock()
			first := !n.replicas.changeLog.IsLoaded()
			n.replicas.changeLog.Replace(n.now(), items, at)
			n.watchedMu.Unlock()
			event.NodeReplicasChanged.Log(n.log, "from", fromStore, "at", at.Revision, "era", at.Era, "known", len(items))
			n.publishSnapshot()
			if first {
				n.announceToHall() // other instances may be waiting for the list
			}
		}, err
	}
	f.watch = func(wait time.Duration) (func(), error) {
		if pending.changed > 0 {
			wait = 0
		}
		items, at, err := n.store.Watch(platform.TopicReplicas, n.replicasKnownAt(), wait)
		return func() { n.applyReplicaChanges(ctx, &pending, items, at) }, err
	}
	f.run(ctx)
}

// unpublishedChanges are changes of the replica list that this instance has received from
// the store and has not put in force yet, as more are to follow at once.
type unpublishedChanges struct {
	since   history.Point // point from which a peer lacks none but these
	changed int           // number of changes
	firstAt time.Duration // arrival of the first one
}

// applyReplicaChanges applies the changes of the replica list that a watch returned. When
// hundreds come at once, they are put in force together with those that follow: what that
// costs all instances depends on how often it happens.
func (n *Node) applyReplicaChanges(ctx context.Context, pending *unpublishedChanges, items []platform.Entry, at history.Point) {
	entries := make([]changes.Entry, 0, len(items))
	for _, i := range items {
		entries = append(entries, changes.Entry{ID: i.ReplicaName(), Value: i.Value, Revision: i.Revision, Deleted: i.Deleted})
	}
	n.watchedMu.Lock()
	if pending.changed == 0 {
		pending.since, pending.firstAt = n.replicas.changeLog.CompleteSince(), n.now()
	}
	changed := n.replicas.changeLog.ApplyChanges(entries, at)
	n.watchedMu.Unlock()
	pending.changed += changed
	moreFollow := changed >= manyReplicaChanges && n.now()-pending.firstAt < maxReplicaChangeDelay
	if pending.changed == 0 || moreFollow {
		return
	}
	event.NodeReplicasChanged.Log(n.log, "from", fromStore, "changes", pending.changed, "at", at.Revision, "era", at.Era)
	n.publishSnapshot()
	n.announceReplicaChanges(pending.since)
	*pending = unpublishedChanges{}
	process.Sleep(ctx, replicaChangeDelay)
}
