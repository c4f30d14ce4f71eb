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
	hallPatience  = 300 * time.Millisecond // before a peer of another hall is asked: one of the own hall may soon know, too
	farPatience   = 900 * time.Millisecond // before a peer of another region is asked, for the same reason: with a pull of a second well below the shortest bound of configurations
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

// again ends a question to a peer that was busy: another one is asked at once.
func (p *pull) again() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.busy = false
}

// catchUp asks the sender of a heartbeat for what it knows more of.
func (n *Node) catchUp(now time.Duration, h *pb.Heartbeat) {
	from := h.News[0]
	if have := n.configVersion(); from.Configured > have && n.configPull.due(now, n.patience(from, have > 0)) {
		go n.pullConfig(from.Link, have)
	}
	n.followMu.Lock()
	behind, have := n.replicas.changeLog.IsBehind(h.Changed), n.replicas.changeLog.Revision()
	n.followMu.Unlock()
	if behind && n.listPull.due(now, n.patience(from, have > 0)) {
		go n.pullReplicas(from.Link, have)
	}
}

// patience is how long this instance waits before it asks a peer: who reads the
// store should soon hear from it, and bytes between halls are dear, those between
// regions dearer.
func (n *Node) patience(from *pb.InstanceNews, has bool) time.Duration {
	switch {
	case !has && n.storeFailed.Load(), from.Hall == n.settings.Hall && !n.reads.Load():
		return 0
	case !has && n.reads.Load():
		return firstPatience // it is reading the store
	}
	if from.Region != n.home {
		return farPatience
	}
	return hallPatience
}

func (n *Node) pullConfig(addr string, have uint64) {
	answer := &pb.Config{}
	if err := n.links.Call(addr, frame.PullConfig, &pb.PullConfig{Have: have}, answer, pullFor); err != nil {
		n.configPull.done()
		n.logSideCallFailure("configuration", addr, err)
		return
	}
	n.countPull(addr, answer)
	if answer.Busy {
		n.configPull.again()
		return
	}
	defer n.configPull.done()
	n.takeEmptied(addr, answer.Evacuations) // before what may be sent where is known
	n.takeRolloutOrders(addr, answer.Rollouts)
	if len(answer.Declaration) == 0 {
		return
	}
	text, err := pack.Decompress(answer.Declaration)
	if err != nil {
		event.NodeConfigInvalid.Log(n.log, "from", addr, "error", err)
		return
	}
	n.offerConfiguration(text, "peer")
}

// countPull counts what a peer of another region has told.
func (n *Node) countPull(addr string, answer proto.Message) {
	if n.isRemoteAddress(addr) {
		n.counters.farBytes.pulls.Inc(int64(proto.Size(answer)))
	}
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
	r.once.Do(func() { r.packed, _ = pack.CompressFast(r.text) })
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
	packed := raw.forPeers()
	if !n.telling.allow(n.now(), len(packed), n.settings.LinkBytes) {
		n.counters.toldBusy.Inc(1)
		return &pb.Config{Busy: true}
	}
	return &pb.Config{Revision: config.Version, Declaration: packed, Evacuations: n.emptiedNews(), Rollouts: n.rolloutNews()}
}

func (n *Node) pullReplicas(addr string, have uint64) {
	answer := &pb.ReplicaChanges{}
	err := n.links.Call(addr, frame.PullReplicas, &pb.PullReplicas{Have: have}, answer, pullFor)
	if err == nil {
		n.countPull(addr, answer)
		answer, err = openChanges(answer)
	}
	if err != nil {
		n.listPull.done()
		n.logSideCallFailure("replicas", addr, err)
		return
	}
	if answer.Busy {
		n.listPull.again()
		return
	}
	defer n.listPull.done()
	told := changes.Update{Full: answer.Whole, HasGap: answer.Gapped, Revision: answer.At, LastChange: answer.Changed}
	for _, e := range answer.Entries {
		told.Entries = append(told.Entries, changes.Entry{ID: e.Id, Value: e.Value, Revision: e.Revision, Deleted: e.Gone})
	}
	n.followMu.Lock()
	n.replicas.changeLog.ApplyUpdate(told)
	n.followMu.Unlock()
	event.NodeReplicasChanged.Log(n.log, "from", addr, "changes", len(told.Entries), "at", told.Revision)
	n.publish()
	if have == 0 {
		n.sendHeartbeats() // others may have started with this one
	}
}

// answerReplicas tells a peer what changed of the replicas.
func (n *Node) answerReplicas(first []byte) proto.Message {
	ask := &pb.PullReplicas{}
	if err := proto.Unmarshal(first, ask); err != nil {
		event.NodeMessageInvalid.Log(n.log, "what", "question for replicas", "from", "", "error", err)
		return &pb.ReplicaChanges{}
	}
	n.followMu.Lock()
	changed := n.replicas.changeLog.LastChange()
	n.followMu.Unlock()
	answer, size := n.telling.cached(ask.Have, changed)
	if answer == nil {
		answer, size = n.makeAnswer(ask.Have)
		n.telling.store(ask.Have, changed, answer, size)
	}
	if !n.telling.allow(n.now(), size, n.settings.LinkBytes) {
		n.counters.toldBusy.Inc(1)
		return &pb.ReplicaChanges{Busy: true}
	}
	return answer
}

// makeAnswer returns what a peer lacks that knows all up to a revision, and its
// size in bytes; a long answer is compressed.
func (n *Node) makeAnswer(have uint64) (*pb.ReplicaChanges, int) {
	n.followMu.Lock()
	a := n.replicas.changeLog.UpdateSince(have)
	n.followMu.Unlock()
	out := &pb.ReplicaChanges{Whole: a.Full, Gapped: a.HasGap, At: a.Revision, Changed: a.LastChange}
	for _, e := range a.Entries {
		out.Entries = append(out.Entries, &pb.ReplicaEntry{Id: e.ID, Value: e.Value, Revision: e.Revision, Gone: e.Deleted})
	}
	size := proto.Size(out)
	if size < compressFrom {
		return out, size
	}
	text, err := proto.Marshal(out)
	if err == nil {
		text, err = pack.CompressFast(text)
	}
	if err != nil {
		event.NodeMessageInvalid.Log(n.log, "what", "changes of replicas", "from", n.settings.Name, "error", err)
		return out, size
	}
	return &pb.ReplicaChanges{Packed: text}, len(text)
}

// openChanges returns the message that an answer stands for.
func openChanges(answer *pb.ReplicaChanges) (*pb.ReplicaChanges, error) {
	if len(answer.Packed) == 0 {
		return answer, nil
	}
	text, err := pack.Decompress(answer.Packed)
	if err != nil {
		return nil, err
	}
	opened := &pb.ReplicaChanges{}
	return opened, proto.Unmarshal(text, opened)
}
