package node

import (
	"context"
	"errors"
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

const beatEach = 200 * time.Millisecond // five rounds reach 390 instances in a second: docs/CAPACITY.md

// beat tells others of this instance and what it knows, some times a second.
func (n *Node) beat(ctx context.Context) {
	heard := make(map[string]gossip.Instance)
	process.Every(ctx, beatEach, func() {
		alive := n.alive()
		n.logHeard(heard, alive)
		n.noteFar(alive)
		n.noteLevel(alive)
		n.takeRole(alive)
		n.noteSpeeds()
		n.tell()
		n.gossipMu.Lock()
		seeds := n.members.SeedsDue(n.now())
		n.gossipMu.Unlock()
		if seeds {
			n.tellSeeds()
		}
	})
}

// logHeard logs what changed of who is heard of since the last look, and keeps it.
func (n *Node) logHeard(heard map[string]gossip.Instance, alive []gossip.Instance) {
	now := make(map[string]bool, len(alive))
	for _, i := range alive {
		now[i.Name] = true
		if old, ok := heard[i.Name]; !ok || old.Incarnation != i.Incarnation {
			event.NodeHears.Log(n.log, "name", i.Name, "hall", i.Hall, "incarnation", i.Incarnation)
		}
		heard[i.Name] = i
	}
	for name, i := range heard {
		if !now[name] {
			event.NodeMisses.Log(n.log, "name", name, "hall", i.Hall, "incarnation", i.Incarnation, "leaving", i.Leaving)
			delete(heard, name)
		}
	}
}

// tell sends one round of heartbeats.
func (n *Node) tell() {
	if n.socket == nil {
		return
	}
	n.gossipMu.Lock()
	to, m := n.members.Round(n.now(), newRandom())
	n.gossipMu.Unlock()
	n.send(to, m, n.speedsToTell(false), n.quarantineUpdate())
}

// tellHall tells every instance of the own hall what this one knows.
func (n *Node) tellHall() {
	if n.socket == nil {
		return
	}
	now := n.now()
	n.gossipMu.Lock()
	m := n.members.BuildMessage(now)
	var to []string
	for _, i := range n.members.Alive(now) {
		if i.Hall == n.settings.Hall && i.Name != n.settings.Name {
			to = append(to, i.HeartbeatAddress)
		}
	}
	n.gossipMu.Unlock()
	n.send(to, m, nil, nil)
}

// tellSeeds tells the instances that the settings name; they may be gone.
func (n *Node) tellSeeds() {
	var to []string
	for _, seed := range *n.seeds.Load() {
		host, _, err := net.SplitHostPort(seed)
		if err == nil && host != n.settings.IP {
			to = append(to, net.JoinHostPort(host, strconv.Itoa(n.settings.DatagramPort)))
		}
	}
	n.introduce(to)
}

// introduce tells others of this instance.
func (n *Node) introduce(to []string) {
	n.gossipMu.Lock()
	self := n.members.Self()
	n.gossipMu.Unlock()
	n.send(to, gossip.Message{Entries: []gossip.Instance{self}}, nil, nil)
}

func (n *Node) send(to []string, m gossip.Message, speeds []*pb.EngineSpeed, cases []*pb.QuarantineCase) {
	if len(to) == 0 {
		return
	}
	leaving, said := n.leavingNews()
	h := &pb.Heartbeat{
		Leaving: leaving, LeavingStated: uint32(said), Sick: n.sick(), Changed: n.listChanged(), Evacuations: n.evacuationUpdate(),
		Rollouts: n.rolloutUpdate(), Speeds: speeds, Quarantine: cases, Limits: n.limitNews(),
	}
	for _, i := range m.Entries {
		h.News = append(h.News, newsOf(i))
	}
	for _, b := range m.Heartbeats {
		h.Keys = append(h.Keys, b.Key)
		h.Counts = append(h.Counts, b.Count)
	}
	b, err := datagram.Encode(h)
	if err != nil {
		event.NodeMessageBroken.Log(n.log, "what", "heartbeat", "from", n.settings.Name, "error", err)
		return
	}
	for _, addr := range to {
		n.socket.Send(addr, b)
		if n.isFarAddress(addr) {
			n.counters.remoteBytes.heartbeats.Inc(int64(len(b)))
		}
	}
}

// mostSickTold bounds a heartbeat.
const mostSickTold = 16

func (n *Node) sick() []*pb.SickReplica {
	n.detectorMu.Lock()
	defer n.detectorMu.Unlock()
	var out []*pb.SickReplica
	for id, left := range n.detector.LocallyEjected(n.now()) {
		for _, word := range n.spokenAll([]string{id}) {
			if len(out) < mostSickTold {
				out = append(out, &pb.SickReplica{Id: word, LeftMs: uint32(left.Milliseconds())})
			}
		}
	}
	return out
}

// pausedReplicas returns the replicas that this instance and its peers leave alone.
func (n *Node) pausedReplicas() map[string]bool {
	w, now := n.world.Load(), n.now()
	out := make(map[string]bool)
	n.detectorMu.Lock()
	defer n.detectorMu.Unlock()
	for _, r := range w.all {
		if n.detector.IsEjected(now, r.ID) {
			out[r.ID] = true
		}
	}
	return out
}

// hear takes in others' heartbeats.
func (n *Node) hear(ctx context.Context) {
	for ctx.Err() == nil {
		h, err := n.socket.Receive()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			process.Pause(ctx, beatEach)
			continue
		}
		n.takeHeartbeat(h)
	}
}

func (n *Node) takeHeartbeat(h *pb.Heartbeat) {
	now := n.now()
	n.tellOutlived(h)
	n.gossipMu.Lock()
	var fresh []string
	before := n.members.Self().Incarnation
	for i, news := range h.News {
		isNew := n.members.Merge(now, instanceOf(news))
		if isNew && (i == 0 || news.Region == n.home) { // one of another region learns from those whom it tells
			fresh = append(fresh, news.Datagram)
		}
	}
	for i := range min(len(h.Keys), len(h.Counts)) {
		n.members.MergeHeartbeat(now, gossip.Heartbeat{Key: h.Keys[i], Count: h.Counts[i]})
	}
	var known gossip.Message
	if len(fresh) > 0 {
		known = n.members.BuildMessage(now)
	}
	after := n.members.Self().Incarnation
	n.gossipMu.Unlock()
	if after != before {
		event.NodeOutlives.Log(n.log, "was", before, "incarnation", after, "from", senderOf(h))
		n.tell()
	}
	if len(fresh) > 0 {
		n.send(fresh, known, n.speedsToTell(true), n.quarantineSnapshot()) // who has just started learns of the others at once
	}
	n.mergeEvacuations(senderOf(h), h.Evacuations)
	n.mergeRollouts(h)
	n.catchUp(now, h)
	for i, id := range h.Leaving {
		life, ok := n.lifeToldBy(h, id)
		switch {
		case !ok:
		case i < int(h.LeavingStated):
			n.takeLeaving(life, senderOf(h))
		default:
			n.sawLeaving(life, "peer")
		}
	}
	n.takeHearsay(now, h)
	n.takeSpeeds(h.Speeds)
	n.mergeQuarantine(h.Quarantine)
	n.takeLimits(senderOf(h), h.Limits)
}

// tellOutlived tells the sender of a heartbeat what is known of its last life, if
// that counts as the later one.
func (n *Node) tellOutlived(h *pb.Heartbeat) {
	if len(h.News) == 0 {
		return
	}
	sender := instanceOf(h.News[0])
	n.gossipMu.Lock()
	last, ok := n.members.NewerEntry(&sender)
	self := n.members.Self()
	n.gossipMu.Unlock()
	if ok {
		n.send([]string{sender.HeartbeatAddress}, gossip.Message{Entries: []gossip.Instance{self, last}}, nil, nil)
	}
}

// senderOf names who sent a heartbeat.
func senderOf(h *pb.Heartbeat) string {
	if len(h.News) == 0 {
		return ""
	}
	return h.News[0].Name
}

// takeHearsay takes in which replicas a peer leaves alone.
func (n *Node) takeHearsay(now time.Duration, h *pb.Heartbeat) {
	var fresh []string
	n.detectorMu.Lock()
	for _, s := range h.Sick {
		id, ok := n.lifeToldBy(h, s.Id)
		if !ok {
			continue
		}
		before := n.detector.IsEjected(now, id)
		n.detector.RecordRemoteEjection(now, id, time.Duration(s.LeftMs)*time.Millisecond)
		if !before && n.detector.IsEjected(now, id) {
			fresh = append(fresh, id)
		}
	}
	n.detectorMu.Unlock()
	for _, id := range fresh {
		event.NodeLeavesAlone.Log(n.log, "replica", id, "why", "hearsay", "by", h.News[0].Name)
	}
}

func newsOf(i gossip.Instance) *pb.InstanceNews {
	return &pb.InstanceNews{
		Name: i.Name, Hall: i.Hall, Incarnation: i.Incarnation, Count: i.HeartbeatCount, Leaving: i.Leaving,
		Front: i.ClientAddress, Link: i.PeerAddress, Datagram: i.HeartbeatAddress, Configured: i.ConfigVersion, Owns: i.OwnedCells, Share: i.CPUShare,
		Reads: i.IsReader, Blind: i.StoreUnreachable, Region: i.Region, Level: i.Level, AgeMs: uint32(i.HeartbeatAge.Milliseconds()),
	}
}

func instanceOf(p *pb.InstanceNews) gossip.Instance {
	return gossip.Instance{
		Name: p.Name, Hall: p.Hall, Incarnation: p.Incarnation, HeartbeatCount: p.Count, Leaving: p.Leaving,
		ClientAddress: p.Front, PeerAddress: p.Link, HeartbeatAddress: p.Datagram, ConfigVersion: p.Configured, OwnedCells: p.Owns, CPUShare: p.Share,
		IsReader: p.Reads, StoreUnreachable: p.Blind, Region: p.Region, Level: p.Level, HeartbeatAge: time.Duration(p.AgeMs) * time.Millisecond,
	}
}

// alive returns the instances heard of lately.
func (n *Node) alive() []gossip.Instance {
	n.gossipMu.Lock()
	defer n.gossipMu.Unlock()
	return n.members.Alive(n.now())
}

// size returns the number of instances heard of lately.
func (n *Node) size() int {
	n.gossipMu.Lock()
	defer n.gossipMu.Unlock()
	return n.members.AliveCount(n.now())
}

// serveLink answers peers.
func (n *Node) serveLink(k frame.Kind, first []byte, stream net.Conn) {
	switch k {
	case frame.PullConfig:
		_ = frame.Write(stream, frame.Reply, n.answerPull())
	case frame.PullReplicas:
		_ = frame.Write(stream, frame.Reply, n.answerReplicas(first))
	case frame.Kept:
		_ = frame.Write(stream, frame.Reply, n.answerKept(first))
	case frame.Trial:
		n.serveTrial(first, stream)
	case frame.Pace:
		_ = frame.Write(stream, frame.Reply, n.answerPace(first, stream.RemoteAddr().String()))
	case frame.Stages:
		n.owner.serve(first, stream)
	default: // of a later build, which knows this from a fault
		_ = frame.Refuse(stream)
	}
}
