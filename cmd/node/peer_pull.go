package node

import (
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"quinceroad/coordination/history"
	"quinceroad/protocol/event"
	"quinceroad/protocol/frame"
	"quinceroad/protocol/pack"
	"quinceroad/protocol/pb"
)

const (
	pullTimeout = time.Second // timeout of one call to a peer

	// Delay before pulling from another hall, as an instance of the local hall may soon
	// have the data. A reader also waits this long before it pulls from its own hall.
	otherHallPullDelay = 300 * time.Millisecond

	// Delay before pulling from another region, for the same reason. Together with a pull
	// of one second it is well below the shortest time in which configurations must be in
	// force.
	remoteRegionPullDelay = 900 * time.Millisecond

	initialPullDelay = time.Second // delay before a reader without any data pulls

	compressFrom = 1400 // bytes; larger updates are compressed, smaller ones fit one packet
)

// pullMissing pulls what the sender of a heartbeat has and this instance lacks.
func (n *Node) pullMissing(now time.Duration, h *pb.Heartbeat) {
	from := h.News[0]
	if have := n.configVersion(); from.Configured > have && n.configPull.TryStart(now, n.pullDelay(from, have > 0)) {
		go n.pullConfig(from.Link, have)
	}
	n.watchedMu.Lock()
	behind, have := n.replicas.changeLog.IsBehind(changedIn(h)), n.replicas.changeLog.At()
	n.watchedMu.Unlock()
	if behind && n.replicasPull.TryStart(now, n.pullDelay(from, !have.IsZero())) {
		go n.pullReplicas(from.Link, have)
	}
}

// changedIn returns the newest change of the replicas that the sender of a heartbeat knows.
func changedIn(h *pb.Heartbeat) history.Point {
	return history.Point{Era: h.ChangedEra, Revision: h.Changed}
}

// pullDelay returns how long to wait before pulling from a peer. An instance that reads
// the store should soon receive the update from there, and traffic between halls is
// expensive, between regions even more so.
func (n *Node) pullDelay(from *pb.InstanceNews, hasAny bool) time.Duration {
	switch {
	case !hasAny && n.storeFailed.Load(), from.Hall == n.settings.Hall && !n.isReader.Load():
		return 0
	case !hasAny && n.isReader.Load():
		return initialPullDelay // its read from the store is in progress
	}
	if from.Region != n.home {
		return remoteRegionPullDelay
	}
	return otherHallPullDelay
}

func (n *Node) pullConfig(addr string, have uint64) {
	answer := &pb.Config{}
	if err := n.links.Call(addr, frame.PullConfig, &pb.PullConfig{Have: have}, answer, pullTimeout); err != nil {
		n.configPull.Finish()
		n.logSideCallFailure("configuration", addr, err)
		return
	}
	n.countPullBytes(addr, answer)
	if answer.Busy {
		n.configPull.FinishBusy(n.now(), newRandom().Float64())
		return
	}
	defer n.configPull.Finish()
	n.mergeDrainedHalls(addr, answer.Evacuations) // before the configuration, which allows requests to be sent
	n.mergeRolloutOrders(addr, answer.Rollouts)
	if len(answer.Declaration) == 0 {
		return
	}
	text, err := pack.Decompress(answer.Declaration)
	if err != nil {
		event.NodeConfigInvalid.Log(n.log, "from", addr, "error", err)
		return
	}
	n.applyConfiguration(text, "peer")
}

// countPullBytes counts the bytes of an answer.
func (n *Node) countPullBytes(addr string, answer proto.Message) {
	n.counters.bytesTo(n.distanceOfAddress(addr)).pulls.Inc(int64(proto.Size(answer)))
}

// rawConfig is a configuration as stored.
type rawConfig struct {
	text       []byte
	once       sync.Once
	compressed []byte // for peers; empty if compression failed
}

// compressForPeers returns the compressed configuration: uncompressed, a large one sent
// to every instance of a hall would saturate a small machine's link for seconds.
func (r *rawConfig) compressForPeers() []byte {
	r.once.Do(func() { r.compressed, _ = pack.CompressFast(r.text) })
	return r.compressed
}

// answerConfigPull returns the configuration in force.
func (n *Node) answerConfigPull() proto.Message {
	n.watchedMu.Lock()
	config, raw := n.config, n.rawConfig
	n.watchedMu.Unlock()
	if config == nil {
		return &pb.Config{}
	}
	packed := raw.compressForPeers()
	if !n.peerUpdates.Allow(n.now(), len(packed), n.settings.LinkBytesPerSecond) {
		n.counters.busyReplies.Inc(1)
		return &pb.Config{Busy: true}
	}
	return &pb.Config{Revision: config.Version, Declaration: packed, Evacuations: n.drainedHallsUpdate(), Rollouts: n.rolloutUpdate()}
}

func (n *Node) pullReplicas(addr string, have history.Point) {
	answer := &pb.ReplicaChanges{}
	err := n.links.Call(addr, frame.PullReplicas, &pb.PullReplicas{Have: have.Revision, Era: have.Era}, answer, pullTimeout)
	if err == nil {
		n.countPullBytes(addr, answer)
		answer, err = decompressChanges(answer)
	}
	if err != nil {
		n.replicasPull.Finish()
		n.logSideCallFailure("replicas", addr, err)
		return
	}
	if answer.Busy {
		n.replicasPull.FinishBusy(n.now(), newRandom().Float64())
		return
	}
	defer n.replicasPull.Finish()
	update := decodeReplicaChanges(answer)
	n.watchedMu.Lock()
	n.replicas.changeLog.ApplyUpdate(n.now(), update)
	n.watchedMu.Unlock()
	event.NodeReplicasChanged.Log(n.log, "from", addr, "changes", len(update.Entries), "at", update.At.Revision, "era", update.At.Era)
	n.publishSnapshot()
	if have.IsZero() {
		n.sendHeartbeats() // other instances may have started at the same time and lack the list
	}
}

// answerReplicasPull returns the changes of the replica list that a peer lacks.
func (n *Node) answerReplicasPull(first []byte) proto.Message {
	ask := &pb.PullReplicas{}
	if err := proto.Unmarshal(first, ask); err != nil {
		event.NodeMessageInvalid.Log(n.log, "what", "replica changes request", "from", "", "error", err)
		return &pb.ReplicaChanges{}
	}
	n.watchedMu.Lock()
	changed := n.replicas.changeLog.LastChange()
	n.watchedMu.Unlock()
	have := history.Point{Era: ask.Era, Revision: ask.Have}
	answer, size := n.peerUpdates.Cached(have, changed)
	if answer == nil {
		answer, size = n.buildReplicasAnswer(have)
		n.peerUpdates.Store(have, changed, answer, size)
	}
	if !n.peerUpdates.Allow(n.now(), size, n.settings.LinkBytesPerSecond) {
		n.counters.busyReplies.Inc(1)
		return &pb.ReplicaChanges{Busy: true}
	}
	return answer
}

// buildReplicasAnswer returns the changes since a point and their size in bytes. A
// long answer is compressed.
func (n *Node) buildReplicasAnswer(have history.Point) (*pb.ReplicaChanges, int) {
	n.watchedMu.Lock()
	update := n.replicas.changeLog.UpdateSince(have)
	n.watchedMu.Unlock()
	out := &pb.ReplicaChanges{Whole: update.Full, Gapped: update.HasGap, At: update.At.Revision, Changed: update.LastChange.Revision, Era: update.At.Era}
	for _, e := range update.Entries {
		out.Entries = append(out.Entries, &pb.ReplicaEntry{Id: e.ID, Value: e.Value, Revision: e.Revision, Gone: e.Deleted})
	}
	size := proto.Size(out)
	if size < compressFrom {
		return out, size
	}
	text, err := compressMessage(out)
	if err != nil {
		event.NodeMessageInvalid.Log(n.log, "what", "replica changes", "from", n.settings.Name, "error", err)
		return out, size
	}
	return &pb.ReplicaChanges{Packed: text}, len(text)
}

// decompressChanges returns the changes that an answer contains.
func decompressChanges(answer *pb.ReplicaChanges) (*pb.ReplicaChanges, error) {
	if len(answer.Packed) == 0 {
		return answer, nil
	}
	opened := &pb.ReplicaChanges{}
	return opened, decompressMessage(answer.Packed, opened)
}

// compressMessage returns a message for peers, compressed.
func compressMessage(m proto.Message) ([]byte, error) {
	text, err := proto.Marshal(m)
	if err != nil {
		return nil, err
	}
	return pack.CompressFast(text)
}

// decompressMessage is the reverse of compressMessage.
func decompressMessage(packed []byte, into proto.Message) error {
	text, err := pack.Decompress(packed)
	if err != nil {
		return err
	}
	return proto.Unmarshal(text, into)
}
