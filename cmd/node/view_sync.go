package node

import (
	"context"
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	"quinceroad/cmd/process"
	"quinceroad/coordination/gossip"
	"quinceroad/protocol/event"
	"quinceroad/protocol/frame"
	"quinceroad/protocol/pb"
)

// viewSyncInterval is the time between two exchanges of whole views while this
// instance's own view may lack many instances.
const viewSyncInterval = 100 * time.Millisecond

// syncViews compares this instance's view with those of peers while it may lack many
// instances.
func (n *Node) syncViews(ctx context.Context) {
	process.Every(ctx, viewSyncInterval, func() {
		n.gossipMu.Lock()
		peer, ok := gossip.Instance{}, false
		if n.members.NeedsSync() {
			peer, ok = n.members.SyncTarget(n.now(), newRandom())
		}
		n.gossipMu.Unlock()
		if ok {
			n.syncViewWith(&peer)
		}
	})
}

func (n *Node) syncViewWith(peer *gossip.Instance) {
	n.gossipMu.Lock()
	ask := &pb.SyncAsk{Keys: n.members.Keys()}
	n.gossipMu.Unlock()
	reply := &pb.SyncReply{}
	err := n.links.Call(peer.PeerAddress, frame.SyncView, ask, reply, pullTimeout)
	n.counters.bytesTo(n.distanceTo(peer.Hall)).views.Inc(int64(proto.Size(ask) + proto.Size(reply)))
	if err == nil {
		reply, err = decompressSyncReply(reply)
	}
	switch {
	case errors.Is(err, frame.ErrUnknownKind): // an older build; heartbeats will do
	case err != nil:
		n.logSideCallFailure("view", peer.Name, err)
		return
	case reply.Busy:
		return
	}
	n.gossipMu.Lock()
	defer n.gossipMu.Unlock()
	entries := make([]gossip.Instance, 0, len(reply.News))
	for _, entry := range reply.News {
		entries = append(entries, decodeInstance(entry))
	}
	n.counters.syncedInstances.Inc(int64(n.members.MergeSync(n.now(), entries)))
}

// answerViewSync returns the live instances that a peer lacks.
func (n *Node) answerViewSync(first []byte) proto.Message {
	ask := &pb.SyncAsk{}
	if err := proto.Unmarshal(first, ask); err != nil {
		event.NodeMessageInvalid.Log(n.log, "what", "view request", "from", "", "error", err)
		return &pb.SyncReply{}
	}
	n.gossipMu.Lock()
	entries := n.members.EntriesWithout(n.now(), ask.Keys)
	n.gossipMu.Unlock()
	reply := &pb.SyncReply{News: make([]*pb.InstanceNews, 0, len(entries))}
	for _, i := range entries {
		reply.News = append(reply.News, encodeInstance(i))
	}
	size := proto.Size(reply)
	if size >= compressFrom {
		reply, size = n.compressSyncReply(reply, size)
	}
	if !n.peerUpdates.Allow(n.now(), size, n.settings.LinkBytesPerSecond) {
		n.counters.busyReplies.Inc(1)
		return &pb.SyncReply{Busy: true}
	}
	return reply
}

// compressSyncReply returns a compressed reply and its size in bytes.
func (n *Node) compressSyncReply(reply *pb.SyncReply, size int) (*pb.SyncReply, int) {
	text, err := compressMessage(reply)
	if err != nil {
		event.NodeMessageInvalid.Log(n.log, "what", "view", "from", n.settings.Name, "error", err)
		return reply, size
	}
	return &pb.SyncReply{Packed: text}, len(text)
}

func decompressSyncReply(reply *pb.SyncReply) (*pb.SyncReply, error) {
	if len(reply.Packed) == 0 {
		return reply, nil
	}
	opened := &pb.SyncReply{}
	return opened, decompressMessage(reply.Packed, opened)
}
