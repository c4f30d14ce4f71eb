package node

import (
	"context"
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	"quinceroad/cmd/process"
	"quinceroad/platform"
	"quinceroad/protocol/event"
	"quinceroad/protocol/frame"
	"quinceroad/protocol/pb"
	"quinceroad/state/catalog"
)

const (
	watchFor   = 3 * time.Second        // of one wait for changes
	watchLong  = 8 * time.Second        // in a large fleet, where peers tell of most changes
	watchList  = 5 * time.Second        // of the replicas, which peers tell of only when they leave
	largeFleet = 16                     // instances, above which calls to the store are spared
	gather     = 250 * time.Millisecond // after a change of the replicas, for others that come with it
	retryFirst = 100 * time.Millisecond // after a failed call, doubled each time
	retryMost  = 1 * time.Second
	emptyWait  = 250 * time.Millisecond // before a topic that nobody has written is read again
	pullFor    = 500 * time.Millisecond // of a question to a peer
)

// replicaSet is what the store says of the replicas, with what was seen of
// their leaving, which wins.
type replicaSet struct {
	rows    map[string]catalog.Replica
	leaving map[string]time.Duration // by id: when it was seen
}

func newReplicaSet() *replicaSet {
	return &replicaSet{rows: make(map[string]catalog.Replica), leaving: make(map[string]time.Duration)}
}

// follow reads a topic whole and then waits for its changes, again and again.
type follow struct {
	node  *Node
	name  string
	topic platform.Topic
	long  time.Duration                 // of one wait in a large fleet
	rest  time.Duration                 // after changes, before the next wait
	read  func() (at uint64, err error) // takes the whole topic in
	take  func(platform.Item)           // takes a change in
}

func (f *follow) run(ctx context.Context) {
	wait := retryFirst
	lost := time.Time{}
	for ctx.Err() == nil {
		at, err := f.read()
		for err == nil && ctx.Err() == nil {
			if !lost.IsZero() {
				event.NodeStoreBack.Log(f.node.log, "topic", f.name, "after", time.Since(lost))
				lost = time.Time{}
			}
			wait = retryFirst
			at, err = f.changes(ctx, at)
		}
		if errors.Is(err, platform.ErrCompacted) {
			continue
		}
		if errors.Is(err, platform.ErrNoKey) { // nothing was ever written
			if !process.Pause(ctx, emptyWait) {
				return
			}
			continue
		}
		if lost.IsZero() {
			lost = time.Now()
			event.NodeStoreLost.Log(f.node.log, "topic", f.name, "error", err)
		}
		if !process.Pause(ctx, wait) {
			return
		}
		wait = min(2*wait, retryMost)
	}
}

func (f *follow) changes(ctx context.Context, after uint64) (uint64, error) {
	wait := watchFor
	if f.node.known() > largeFleet {
		wait = f.long
	}
	items, at, err := f.node.store.Watch(f.topic, after, wait)
	if err != nil {
		return 0, err
	}
	for i := range items {
		f.take(items[i])
	}
	if len(items) > 0 {
		f.node.publish()
		process.Pause(ctx, f.rest)
	}
	return max(at, after), nil
}

func (n *Node) followConfiguration(ctx context.Context) {
	f := follow{node: n, name: "configuration", topic: platform.TopicConfiguration, long: watchLong}
	f.read = func() (uint64, error) {
		data, at, err := n.store.Configuration()
		if err == nil {
			n.offer(data, "store")
		}
		return at, err
	}
	f.take = func(i platform.Item) {
		if i.IsConfiguration() && !i.Gone {
			n.offer(i.Value, "store")
		}
	}
	f.run(ctx)
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
		n.config, n.rawConfig = c, data
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
}

// pull asks a peer that has a newer configuration for it.
func (n *Node) pull(addr string, version uint64) {
	answer := &pb.Config{}
	if err := n.links.Call(addr, frame.PullConfig, &pb.PullConfig{Have: version}, answer, pullFor); err != nil {
		return
	}
	if len(answer.Declaration) > 0 {
		n.offer(answer.Declaration, "peer")
	}
}

// answerPull gives the configuration in force.
func (n *Node) answerPull() proto.Message {
	n.followMu.Lock()
	defer n.followMu.Unlock()
	if n.config == nil {
		return &pb.Config{}
	}
	return &pb.Config{Revision: n.config.Version, Declaration: n.rawConfig}
}

func (n *Node) followReplicas(ctx context.Context) {
	f := follow{node: n, name: "replicas", topic: platform.TopicReplicas, long: watchList, rest: gather}
	f.read = func() (uint64, error) {
		items, at, err := n.store.Replicas()
		if err != nil {
			return 0, err
		}
		rows := make(map[string]catalog.Replica, len(items))
		for id, data := range items {
			if r, err := platform.ParseReplica(id, data); err == nil {
				rows[id] = r
			}
		}
		n.followMu.Lock()
		n.replicas.rows = rows
		n.followMu.Unlock()
		n.publish()
		return at, nil
	}
	f.take = n.takeReplica
	f.run(ctx)
}

func (n *Node) takeReplica(i platform.Item) {
	id := i.ReplicaID()
	n.followMu.Lock()
	defer n.followMu.Unlock()
	if i.Gone {
		delete(n.replicas.rows, id)
		return
	}
	if r, err := platform.ParseReplica(id, i.Value); err == nil {
		n.replicas.rows[id] = r
	}
}

// leavingFor is how long a sign of leaving is kept.
const leavingFor = 2 * time.Minute

// sawLeaving notes that a replica leaves, by its own or a peer's word.
func (n *Node) sawLeaving(id, sign string) {
	n.followMu.Lock()
	_, known := n.replicas.leaving[id]
	if !known {
		n.replicas.leaving[id] = n.now()
	}
	n.followMu.Unlock()
	if known {
		return
	}
	event.NodeReplicaLeaves.Log(n.log, "replica", id, "sign", sign)
	n.publish()
}

// recentlyLeaving returns the replicas whose leaving is worth telling others.
func (n *Node) recentlyLeaving() []string {
	n.followMu.Lock()
	defer n.followMu.Unlock()
	var out []string
	for id, at := range n.replicas.leaving {
		switch age := n.now() - at; {
		case age > leavingFor:
			delete(n.replicas.leaving, id)
		case age < tellLeavingFor && len(out) < mostLeavingTold:
			out = append(out, id)
		}
	}
	return out
}

const (
	tellLeavingFor  = 3 * time.Second
	mostLeavingTold = 16
)

// publish makes a new world of what is followed.
func (n *Node) publish() {
	n.followMu.Lock()
	w := &world{config: n.config, services: make(map[string][]catalog.Replica)}
	for id, r := range n.replicas.rows {
		if _, ok := n.replicas.leaving[id]; ok {
			r.Leaving = true
		}
		w.all = append(w.all, r)
		if !r.Leaving {
			w.services[r.Service] = append(w.services[r.Service], r)
		}
	}
	n.world.Store(w)
	n.followMu.Unlock()
	n.owner.refresh()
}
