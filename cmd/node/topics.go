package node

import (
	"context"
	"sync/atomic"
	"time"

	"quinceroad/cmd/process"
	"quinceroad/coordination/changes"
	"quinceroad/coordination/evacuation"
	"quinceroad/platform"
	"quinceroad/protocol/event"
)

// followIntent follows what operators write: the configuration, which halls are
// being emptied, and which roll-outs are ordered.
func (n *Node) followIntent(ctx context.Context) {
	var at atomic.Uint64
	f := follow{node: n, back: n.pulse.back, name: "intent", known: func() bool { return n.version() > 0 }}
	f.read = func() (func(), error) {
		intent, err := n.store.Intent()
		return func() {
			at.Store(intent.At)
			n.takeIntent(intent)
		}, err
	}
	f.changes = func(wait time.Duration) (func(), error) {
		items, revision, err := n.store.Watch(platform.TopicIntent, at.Load(), wait)
		return func() {
			at.Store(max(at.Load(), revision))
			n.takeIntentChanges(items, at.Load())
		}, err
	}
	f.run(ctx)
}

// takeIntent takes in what operators want as it was read whole. The halls and
// the roll-outs come first: nothing is sent before a configuration is in force.
func (n *Node) takeIntent(i platform.Intent) {
	n.empty(fromStore, func(now time.Duration, v *evacuation.View) []evacuation.Change {
		return v.Replace(now, i.Emptied, i.At)
	})
	n.replaceRollouts(i.Rollouts, i.At)
	n.offer(i.Configuration, fromStore)
}

// takeIntentChanges takes in what a watch brought, after which all up to a
// revision is known.
func (n *Node) takeIntentChanges(items []platform.Item, at uint64) {
	var entries []evacuation.Entry
	for i := range items {
		if hall, ok := items[i].EmptiedHall(); ok {
			entries = append(entries, evacuation.Entry{Hall: hall, Revision: items[i].Revision, Deleted: items[i].Gone})
		}
	}
	n.empty(fromStore, func(now time.Duration, v *evacuation.View) []evacuation.Change {
		return v.Apply(now, entries, at)
	})
	n.applyRollouts(items, at)
	for i := range items {
		if items[i].IsConfiguration() && !items[i].Gone {
			n.offer(items[i].Value, fromStore)
		}
	}
}

// fromStore names the store as whom news come from.
const fromStore = "store"

// version is that of the configuration in force; 0: none.
func (n *Node) version() uint64 {
	n.followMu.Lock()
	defer n.followMu.Unlock()
	if n.config == nil {
		return 0
	}
	return n.config.Version
}

// offer takes a configuration into force if it is newer than the one in force;
// a version never falls within a process's life.
func (n *Node) offer(data []byte, from string) {
	c, err := platform.ParseConfiguration(data)
	if err != nil {
		event.NodeConfigBroken.Log(n.log, "from", from, "error", err)
		if c == nil {
			return
		}
	}
	n.followMu.Lock()
	if n.config != nil && c.Version <= n.config.Version {
		n.followMu.Unlock()
		return
	}
	n.config, n.rawConfig = c, &rawConfig{text: data}
	published := n.putInForce() // with the version at once: who asks for it must not find an older one served
	n.followMu.Unlock()
	published()
	n.gossipMu.Lock()
	n.members.SetConfigVersion(c.Version)
	n.gossipMu.Unlock()
	event.NodeConfigAdopted.Log(n.log, "version", c.Version, "from", from, "routes", len(c.Routes))
	n.tell()
	if from == fromStore {
		n.tellHall()
	}
}

func (n *Node) followReplicas(ctx context.Context) {
	f := follow{node: n, back: n.pulse.back, name: "replicas", known: n.listKnown, resumes: true}
	f.read = func() (func(), error) {
		items, at, err := n.store.Replicas()
		return func() {
			n.followMu.Lock()
			first := !n.replicas.log.IsLoaded()
			n.replicas.log.Replace(items, at)
			n.followMu.Unlock()
			event.NodeReplicas.Log(n.log, "from", fromStore, "at", at, "known", len(items))
			n.publish()
			if first {
				n.tellHall() // others may wait for it
			}
		}, err
	}
	f.changes = func(wait time.Duration) (func(), error) {
		items, at, err := n.store.Watch(platform.TopicReplicas, n.listAt(), wait)
		return func() { n.takeReplicas(ctx, items, at) }, err
	}
	f.run(ctx)
}

// takeReplicas takes in what a watch brought of the list of replicas.
func (n *Node) takeReplicas(ctx context.Context, items []platform.Item, at uint64) {
	entries := make([]changes.Entry, 0, len(items))
	for _, i := range items {
		entries = append(entries, changes.Entry{ID: i.ReplicaID(), Value: i.Value, Revision: i.Revision, Deleted: i.Gone})
	}
	n.followMu.Lock()
	news := n.replicas.log.ApplyChanges(entries, at)
	n.followMu.Unlock()
	if news > 0 {
		event.NodeReplicas.Log(n.log, "from", fromStore, "changes", news, "at", at)
		n.publish()
		n.tellHall()
		process.Pause(ctx, gather)
	}
}
