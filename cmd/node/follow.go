package node

import (
	"context"
	"errors"
	"time"

	"quinceroad/cmd/process"
	"quinceroad/coordination/changes"
	"quinceroad/coordination/gossip"
	"quinceroad/coordination/readers"
	"quinceroad/platform"
	"quinceroad/protocol/event"
)

const (
	watchFor   = 8 * time.Second        // of one wait for changes
	gather     = 250 * time.Millisecond // after a change of the replicas, for others that come with it
	retryFirst = 100 * time.Millisecond // after a failed call, doubled each time
	retryMost  = 1 * time.Second
	emptyWait  = 250 * time.Millisecond // before a topic that nobody has written is read again
	roleLook   = 100 * time.Millisecond // between looks whether this instance is to read
)

// follow keeps a topic of the store: it reads it whole once, and then waits for
// its changes while this instance is one of those that read for others.
type follow struct {
	node    *Node
	name    string
	known   func() bool  // the topic was read, or learnt from a peer
	read    func() error // takes the whole topic in
	changes func() error // waits for changes and takes them in
}

func (f *follow) run(ctx context.Context) {
	n := f.node
	wait := retryFirst
	lost := time.Time{}
	whole := true
	for ctx.Err() == nil {
		if f.known() && !n.reads.Load() {
			process.Pause(ctx, roleLook)
			continue
		}
		err := f.step(whole)
		switch {
		case err == nil:
			whole = false
			wait = retryFirst
			if !lost.IsZero() {
				event.NodeStoreBack.Log(n.log, "topic", f.name, "after", time.Since(lost))
				lost = time.Time{}
				n.sees(true)
			}
			continue
		case errors.Is(err, platform.ErrCompacted):
			whole = true
			continue
		case errors.Is(err, platform.ErrNoKey): // nothing was ever written
			process.Pause(ctx, emptyWait)
			continue
		}
		if lost.IsZero() {
			lost = time.Now()
			event.NodeStoreLost.Log(n.log, "topic", f.name, "error", err)
			n.storeFailed.Store(true)
			n.sees(false)
		}
		process.Pause(ctx, wait)
		wait = min(2*wait, retryMost)
	}
}

func (f *follow) step(whole bool) error {
	if whole || !f.known() {
		return f.read()
	}
	return f.changes()
}

// sees notes whether the store is reached; who does not reach it reads for
// others last.
func (n *Node) sees(store bool) {
	n.gossipMu.Lock()
	n.members.SetBlind(!store)
	n.gossipMu.Unlock()
}

// takeRole finds out whether this instance is one of those that follow the store.
func (n *Node) takeRole(alive []gossip.Instance) {
	reads := readers.Chosen(n.settings.Name, alive)
	if n.reads.Swap(reads) == reads {
		return
	}
	n.gossipMu.Lock()
	n.members.SetReads(reads)
	n.gossipMu.Unlock()
	event.NodeReads.Log(n.log, "reads", reads)
}

func (n *Node) followConfiguration(ctx context.Context) {
	at := uint64(0)
	f := follow{node: n, name: "configuration", known: func() bool { return n.version() > 0 }}
	f.read = func() error {
		data, revision, err := n.store.Configuration()
		if err != nil {
			return err
		}
		at = revision
		n.offer(data, "store")
		return nil
	}
	f.changes = func() error {
		items, revision, err := n.store.Watch(platform.TopicConfiguration, at, watchFor)
		if err != nil {
			return err
		}
		at = max(at, revision)
		for i := range items {
			if items[i].IsConfiguration() && !items[i].Gone {
				n.offer(items[i].Value, "store")
			}
		}
		return nil
	}
	f.run(ctx)
}

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
	newer := n.config == nil || c.Version > n.config.Version
	if newer {
		n.config, n.rawConfig = c, &rawConfig{text: data}
	}
	n.followMu.Unlock()
	if !newer {
		return
	}
	n.publish()
	n.gossipMu.Lock()
	n.members.SetConfigured(c.Version)
	n.gossipMu.Unlock()
	event.NodeConfigAdopted.Log(n.log, "version", c.Version, "from", from, "routes", len(c.Routes))
	n.tell()
	if from == "store" {
		n.tellHall()
	}
}

func (n *Node) followReplicas(ctx context.Context) {
	f := follow{node: n, name: "replicas", known: n.listKnown}
	f.read = func() error {
		items, at, err := n.store.Replicas()
		if err != nil {
			return err
		}
		n.followMu.Lock()
		n.replicas.log.Replace(items, at)
		n.followMu.Unlock()
		event.NodeReplicas.Log(n.log, "from", "store", "at", at, "known", len(items))
		n.publish()
		return nil
	}
	f.changes = func() error {
		items, at, err := n.store.Watch(platform.TopicReplicas, n.listAt(), watchFor)
		if err != nil {
			return err
		}
		entries := make([]changes.Entry, 0, len(items))
		for _, i := range items {
			entries = append(entries, changes.Entry{ID: i.ReplicaID(), Value: i.Value, Revision: i.Revision, Gone: i.Gone})
		}
		n.followMu.Lock()
		news := n.replicas.log.Apply(entries, at)
		n.followMu.Unlock()
		if news > 0 {
			event.NodeReplicas.Log(n.log, "from", "store", "changes", news, "at", at)
			n.publish()
			n.tellHall()
			process.Pause(ctx, gather)
		}
		return nil
	}
	f.run(ctx)
}
