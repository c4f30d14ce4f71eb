package node

import (
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"quinceroad/coordination/changes"
	"quinceroad/protocol/event"
	"quinceroad/protocol/frame"
	"quinceroad/protocol/pack"
	"quinceroad/protocol/pb"
)

const (
	pullFor       = time.Second            // of a question to a peer
	farPatience   = 300 * time.Millisecond // before a peer of another hall is asked: one of the own hall may soon know, too
	firstPatience = time.Second            // of an instance that knows nothing yet
	staleWish     = 2 * time.Second        // after which a wish is a new one
)

// pull asks peers for what this instance lacks of one topic, one at a time.
type pull struct {
	mu    sync.Mutex
	busy  bool
	since time.Duration // when it was first seen to be behind; 0: it is not
}

// due reports whether a peer that knows more is to be asked now, and takes it on.
func (p *pull) due(now time.Duration, patience time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.busy {
		return false
	}
	if p.since == 0 || now-p.since > staleWish {
		p.since = now
	}
	if now-p.since < patience {
		return false
	}
	p.busy = true
	return true
}

func (p *pull) done() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.busy, p.since = false, 0
}

// catchUp asks the sender of a heartbeat for what it knows more of.
func (n *Node) catchUp(now time.Duration, h *pb.Heartbeat) {
	from := h.News[0]
	if have := n.version(); from.Configured > have && n.configPull.due(now, n.patience(from.Hall, have > 0)) {
		go n.pullConfig(from.Link, have)
	}
	n.followMu.Lock()
	behind, have := n.replicas.log.Behind(h.Changed), n.replicas.log.At()
	n.followMu.Unlock()
	if behind && n.listPull.due(now, n.patience(from.Hall, have > 0)) {
		go n.pullReplicas(from.Link, have)
	}
}

// patience is how long this instance waits before it asks a peer of that hall:
// who reads the store should soon hear from it, and bytes between halls are dear.
func (n *Node) patience(hall string, has bool) time.Duration {
	switch {
	case !has && !n.storeFailed.Load():
		return firstPatience // it is reading the store
	case !has, hall == n.settings.Hall && !n.reads.Load():
		return 0
	}
	return farPatience
}

func (n *Node) pullConfig(addr string, have uint64) {
	defer n.configPull.done()
	answer := &pb.Config{}
	if err := n.links.Call(addr, frame.PullConfig, &pb.PullConfig{Have: have}, answer, pullFor); err != nil {
		n.logAside("configuration", addr, err)
		return
	}
	n.takeEmptied(addr, answer.Evacuations) // before what may be sent where is known
	if len(answer.Declaration) == 0 {
		return
	}
	text, err := pack.Open(answer.Declaration)
	if err != nil {
		event.NodeConfigBroken.Log(n.log, "from", addr, "error", err)
		return
	}
	n.offer(text, "peer")
}

// rawConfig is a configuration as the store has it.
type rawConfig struct {
	text   []byte
	once   sync.Once
	packed []byte // for peers; empty when it can't be compressed
}

// forPeers returns the configuration compressed: a large one, sent to every
// instance of a hall, would fill a small machine's link for seconds.
func (r *rawConfig) forPeers() []byte {
	r.once.Do(func() { r.packed, _ = pack.Fast(r.text) })
	return r.packed
}

// answerPull gives the configuration in force.
func (n *Node) answerPull() proto.Message {
	n.followMu.Lock()
	config, raw := n.config, n.rawConfig
	n.followMu.Unlock()
	if config == nil {
		return &pb.Config{}
	}
	return &pb.Config{Revision: config.Version, Declaration: raw.forPeers(), Evacuations: n.emptiedNews()}
}

func (n *Node) pullReplicas(addr string, have uint64) {
	defer n.listPull.done()
	answer := &pb.ReplicaChanges{}
	if err := n.links.Call(addr, frame.PullReplicas, &pb.PullReplicas{Have: have}, answer, pullFor); err != nil {
		n.logAside("replicas", addr, err)
		return
	}
	told := changes.Answer{Whole: answer.Whole, At: answer.At, Changed: answer.Changed}
	for _, e := range answer.Entries {
		told.Entries = append(told.Entries, changes.Entry{ID: e.Id, Value: e.Value, Revision: e.Revision, Gone: e.Gone})
	}
	n.followMu.Lock()
	n.replicas.log.Take(told)
	n.followMu.Unlock()
	event.NodeReplicas.Log(n.log, "from", addr, "changes", len(told.Entries), "at", told.At)
	n.publish()
}

// answerReplicas tells a peer what changed of the replicas.
func (n *Node) answerReplicas(first []byte) proto.Message {
	ask := &pb.PullReplicas{}
	if proto.Unmarshal(first, ask) != nil {
		return &pb.ReplicaChanges{}
	}
	n.followMu.Lock()
	a := n.replicas.log.After(ask.Have)
	n.followMu.Unlock()
	out := &pb.ReplicaChanges{Whole: a.Whole, At: a.At, Changed: a.Changed}
	for _, e := range a.Entries {
		out.Entries = append(out.Entries, &pb.ReplicaEntry{Id: e.ID, Value: e.Value, Revision: e.Revision, Gone: e.Gone})
	}
	return out
}
