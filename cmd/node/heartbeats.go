package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"strconv"
	"time"

	"quinceroad/cmd/process"
	"quinceroad/coordination/gossip"
	"quinceroad/protocol/event"
	"quinceroad/protocol/frame"
	"quinceroad/protocol/pb"
	"quinceroad/transport/datagram"
)

const heartbeatInterval = 200 * time.Millisecond // five rounds reach 390 instances within a second: docs/CAPACITY.md

// runHeartbeats updates this instance's view of the others and sends it as heartbeats,
// several times a second. What depends on the live instances alone is updated when they
// change.
func (n *Node) runHeartbeats(ctx context.Context) {
	var seen *gossip.Live
	isPrepared := false
	membership := newMembershipLog()
	process.Every(ctx, heartbeatInterval, func() {
		live := n.live()
		if live != seen {
			seen = live
			n.logMembership(membership, live.Instances)
			n.recordHosts(live.Instances)
		}
		n.leaveStoppingRelays(live.Instances)
		n.updateFleetLevel(live)
		n.updateReaderRole(live)
		isPrepared = isPrepared || n.prepareOwnership()
		n.recordLocalSpeeds()
		n.sendHeartbeats()
		n.gossipMu.Lock()
		seedsDue := n.members.SeedsDue(n.now())
		n.gossipMu.Unlock()
		if seedsDue {
			n.announceToSeeds()
		}
	})
}

// sendHeartbeats sends one round of heartbeats.
func (n *Node) sendHeartbeats() {
	if n.socket == nil {
		return
	}
	n.gossipMu.Lock()
	to, m := n.members.Round(n.now(), newRandom())
	n.gossipMu.Unlock()
	n.sendHeartbeatTo(to, m, n.speeds.Updates(n.now(), false), n.quarantineUpdate())
}

// announceToHall announces this instance's newest data to all instances of its hall.
func (n *Node) announceToHall() {
	if n.socket != nil {
		n.sendToHall(n.selfHeartbeat())
	}
}

// sendToHall sends a heartbeat to all instances of this instance's hall.
func (n *Node) sendToHall(h *pb.Heartbeat) {
	var to []string
	for _, i := range n.live().Hall(n.settings.Hall) {
		if i.Name != n.settings.Name {
			to = append(to, i.HeartbeatAddress)
		}
	}
	n.sendEncoded(to, h)
}

// announceToSeeds announces this instance to the seeds of the settings. The seeds may no
// longer exist.
func (n *Node) announceToSeeds() { n.announceSelf(n.otherSeeds()) }

// otherSeeds returns the heartbeat addresses of the seeds other than this instance.
func (n *Node) otherSeeds() (out []string) {
	for _, seed := range *n.seeds.Load() {
		host, _, err := net.SplitHostPort(seed)
		if err == nil && host != n.settings.IP {
			out = append(out, net.JoinHostPort(host, strconv.Itoa(n.settings.HeartbeatPort)))
		}
	}
	return out
}

// announceSelf announces this instance to the given addresses.
func (n *Node) announceSelf(to []string) {
	if len(to) > 0 {
		n.sendEncoded(to, n.selfHeartbeat())
	}
}

// selfHeartbeat returns a heartbeat that tells of this instance alone.
func (n *Node) selfHeartbeat() *pb.Heartbeat {
	n.gossipMu.Lock()
	self := n.members.Self()
	n.gossipMu.Unlock()
	return n.buildHeartbeat(gossip.Message{Entries: []gossip.Instance{self}})
}

func (n *Node) sendHeartbeatTo(to []string, m gossip.Message, speeds []*pb.EngineSpeed, cases []*pb.QuarantineCase) {
	if len(to) == 0 {
		return
	}
	h := n.buildHeartbeat(m)
	h.Speeds, h.Quarantine = speeds, cases
	n.sendEncoded(to, h)
}

// buildHeartbeat returns a heartbeat with what is announced in each.
func (n *Node) buildHeartbeat(m gossip.Message) *pb.Heartbeat {
	draining, stated := n.drainUpdates()
	changed := n.lastReplicaChange()
	h := &pb.Heartbeat{
		Leaving: draining, LeavingStated: uint32(stated), Sick: n.ejectionUpdates(), Changed: changed.Revision, ChangedEra: changed.Era, Evacuations: n.drainedHallsUpdate(),
		Rollouts: n.rolloutUpdate(), Limits: n.limitUpdates(),
	}
	for _, i := range m.Entries {
		h.News = append(h.News, encodeInstance(i))
	}
	for _, b := range m.Heartbeats {
		h.Keys = append(h.Keys, b.Key)
		h.Counts = append(h.Counts, b.Count)
	}
	return h
}

func (n *Node) sendEncoded(to []string, h *pb.Heartbeat) {
	b, err := datagram.Encode(h)
	if err != nil {
		event.NodeMessageInvalid.Log(n.log, "what", "heartbeat", "from", n.settings.Name, "error", err)
		return
	}
	for _, addr := range to {
		n.socket.Send(addr, b)
		n.counters.bytesTo(n.distanceOfAddress(addr)).heartbeats.Inc(int64(len(b)))
	}
}

// maxEjectionsPerHeartbeat bounds the size of a heartbeat.
const maxEjectionsPerHeartbeat = 16

func (n *Node) ejectionUpdates() []*pb.SickReplica {
	n.detectorMu.Lock()
	defer n.detectorMu.Unlock()
	var out []*pb.SickReplica
	for id, remaining := range n.detector.LocallyEjected(n.now()) {
		for _, wireID := range n.announcedReplicaIDs([]string{id}) {
			if len(out) < maxEjectionsPerHeartbeat {
				out = append(out, &pb.SickReplica{Id: wireID, LeftMs: uint32(remaining.Milliseconds())})
			}
		}
	}
	return out
}

// ejectedReplicas returns the replicas that are ejected by this instance or its peers.
func (n *Node) ejectedReplicas() map[string]bool {
	list := n.snapshot.Load().list
	n.detectorMu.Lock()
	ejected := n.detector.Ejected(n.now())
	n.detectorMu.Unlock()
	out := make(map[string]bool, len(ejected))
	for _, id := range ejected {
		if list.Has(id) {
			out[id] = true
		}
	}
	return out
}

// receiveHeartbeats handles the heartbeats of other instances.
func (n *Node) receiveHeartbeats(ctx context.Context) {
	for ctx.Err() == nil {
		h, err := n.socket.Receive()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			process.Sleep(ctx, heartbeatInterval)
			continue
		}
		n.handleHeartbeat(h)
	}
}

func (n *Node) handleHeartbeat(h *pb.Heartbeat) {
	now := n.now()
	n.sendNewerIncarnation(h)
	n.gossipMu.Lock()
	var newPeers []string
	random, isAnnouncement := newRandom(), len(h.News) == 1 && len(h.Keys) == 0
	before := n.members.Self().Incarnation
	for i, entry := range h.News {
		isNew := n.members.Merge(now, decodeInstance(entry))
		if isNew && (i == 0 && isAnnouncement || n.shouldAnswerJoin(entry, i, random)) {
			newPeers = append(newPeers, entry.Datagram)
		}
	}
	for i := range min(len(h.Keys), len(h.Counts)) {
		n.members.MergeHeartbeat(now, gossip.Heartbeat{Key: h.Keys[i], Count: h.Counts[i]})
	}
	var fullView gossip.Message
	if len(newPeers) > 0 {
		fullView = n.members.BuildMessage(now)
	}
	after := n.members.Self().Incarnation
	n.gossipMu.Unlock()
	if after != before {
		event.NodeIncarnationRaised.Log(n.log, "was", before, "incarnation", after, "from", senderOf(h))
		n.sendHeartbeats()
	}
	if len(newPeers) > 0 {
		// A starting instance thus discovers the others at once.
		n.sendHeartbeatTo(newPeers, fullView, n.speeds.Updates(n.now(), true), n.quarantineSnapshot())
	}
	n.mergeDrainedHalls(senderOf(h), h.Evacuations)
	n.mergeRollouts(h)
	n.mergePushedChanges(h)
	n.pullMissing(now, h)
	for i, id := range h.Leaving {
		incarnation, ok := n.incarnationInHeartbeat(h, id)
		switch {
		case !ok:
		case i < int(h.LeavingStated):
			n.recordStatedDrain(incarnation, senderOf(h))
		default:
			n.recordInferredDrain(incarnation, "peer")
		}
	}
	n.recordRemoteEjections(now, h)
	n.mergeSpeeds(h.Speeds)
	n.mergeQuarantine(h.Quarantine)
	n.recordPeerLimits(senderOf(h), h.Limits)
}

// shouldAnswerJoin reports whether to send the view to a newcomer, the entry of the given
// number in a heartbeat. Instances of other regions receive the view from those that they
// contact. The caller holds gossipMu.
func (n *Node) shouldAnswerJoin(entry *pb.InstanceNews, number int, random *rand.Rand) bool {
	return (number == 0 || entry.Region == n.home) && n.members.ShouldAnswerJoin(random)
}

// sendNewerIncarnation replies to a heartbeat with the sender's last recorded incarnation
// if that counts as newer than the one that it announces, so that the sender can choose a
// higher one.
func (n *Node) sendNewerIncarnation(h *pb.Heartbeat) {
	if len(h.News) == 0 {
		return
	}
	sender := decodeInstance(h.News[0])
	n.gossipMu.Lock()
	newer, ok := n.members.NewerEntry(&sender)
	self := n.members.Self()
	n.gossipMu.Unlock()
	if ok {
		n.sendHeartbeatTo([]string{sender.HeartbeatAddress}, gossip.Message{Entries: []gossip.Instance{self, newer}}, nil, nil)
	}
}

// senderOf returns the name of the instance that sent a heartbeat.
func senderOf(h *pb.Heartbeat) string {
	if len(h.News) == 0 {
		return ""
	}
	return h.News[0].Name
}

// recordRemoteEjections records the replicas that a peer has ejected.
func (n *Node) recordRemoteEjections(now time.Duration, h *pb.Heartbeat) {
	var newlyEjected []string
	n.detectorMu.Lock()
	for _, s := range h.Sick {
		id, ok := n.incarnationInHeartbeat(h, s.Id)
		if !ok {
			continue
		}
		wasEjected := n.detector.IsEjected(now, id)
		n.detector.RecordRemoteEjection(now, id, time.Duration(s.LeftMs)*time.Millisecond)
		if !wasEjected && n.detector.IsEjected(now, id) {
			newlyEjected = append(newlyEjected, id)
		}
	}
	n.detectorMu.Unlock()
	for _, id := range newlyEjected {
		event.NodeReplicaEjected.Log(n.log, "replica", id, "why", "hearsay", "by", h.News[0].Name)
	}
}

func encodeInstance(i gossip.Instance) *pb.InstanceNews {
	return &pb.InstanceNews{
		Name: i.Name, Hall: i.Hall, Incarnation: i.Incarnation, Count: i.HeartbeatCount, Leaving: i.Leaving,
		Front: i.ClientAddress, Link: i.PeerAddress, Datagram: i.HeartbeatAddress, Configured: i.ConfigVersion, Owns: i.OwnedCells, Share: i.CPUShare,
		Reads: i.IsReader, Blind: i.StoreUnreachable, Region: i.Region, Level: i.Level, AgeMs: uint32(i.HeartbeatAge.Milliseconds()),
	}
}

func decodeInstance(p *pb.InstanceNews) gossip.Instance {
	return gossip.Instance{
		Name: p.Name, Hall: p.Hall, Incarnation: p.Incarnation, HeartbeatCount: p.Count, Leaving: p.Leaving,
		ClientAddress: p.Front, PeerAddress: p.Link, HeartbeatAddress: p.Datagram, ConfigVersion: p.Configured, OwnedCells: p.Owns, CPUShare: p.Share,
		IsReader: p.Reads, StoreUnreachable: p.Blind, Region: p.Region, Level: p.Level, HeartbeatAge: time.Duration(p.AgeMs) * time.Millisecond,
	}
}

// live returns the instances that are considered alive. The result is shared.
func (n *Node) live() *gossip.Live {
	n.gossipMu.Lock()
	defer n.gossipMu.Unlock()
	return n.members.Live(n.now())
}

// liveInstances returns the instances that are considered alive. The result is shared;
// the caller must not change it.
func (n *Node) liveInstances() []gossip.Instance { return n.live().Instances }

// liveInstanceCount returns the number of instances that are considered alive.
func (n *Node) liveInstanceCount() int { return len(n.live().Instances) }

// servePeer answers the requests of peers.
func (n *Node) servePeer(k frame.Kind, first []byte, stream net.Conn) {
	switch k {
	case frame.PullConfig:
		_ = frame.Write(stream, frame.Reply, n.answerConfigPull())
	case frame.SyncView:
		_ = frame.Write(stream, frame.Reply, n.answerViewSync(first))
	case frame.PullReplicas:
		_ = frame.Write(stream, frame.Reply, n.answerReplicasPull(first))
	case frame.CachedPrefix:
		_ = frame.Write(stream, frame.Reply, n.answerCacheQuery(first))
	case frame.TrialLease:
		n.trials.Serve(first, stream)
	case frame.SendGrant:
		_ = frame.Write(stream, frame.Reply, n.answerGrantRequest(first, stream.RemoteAddr().String()))
	case frame.Relay:
		n.serveRelay(first, stream)
	case frame.RecordOrigin:
		_ = frame.Write(stream, frame.Reply, n.origins.ServeRecord(first))
	case frame.FindOrigin:
		_ = frame.Write(stream, frame.Reply, n.origins.ServeFind(first))
	case frame.CollectOrigins:
		_ = frame.Write(stream, frame.Reply, n.origins.ServeCollect(first))
	case frame.ReadBuildLogs:
		_ = frame.Write(stream, frame.Reply, n.origins.ServeBuildLogs(first))
	case frame.SlotLease:
		n.slots.Serve(first, stream)
	case frame.RunStages:
		n.owner.serveStagesStream(first, stream)
	default: // a frame kind of a later build; the reply lets it distinguish this from a failure
		_ = frame.ReplyUnknownKind(stream)
	}
}
