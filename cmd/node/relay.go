package node

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"syscall"
	"time"

	"google.golang.org/protobuf/proto"

	"quinceroad/coordination/featurelevel"
	"quinceroad/coordination/gossip"
	"quinceroad/protocol/event"
	"quinceroad/protocol/frame"
	"quinceroad/protocol/pb"
	"quinceroad/state/catalog"
	"quinceroad/transport/relay"
)

const (
	maxRelayPeers     = 4                      // peers asked for one connection
	maxFarRelays      = 8                      // peers of other halls that are considered for one connection
	maxFarDraws       = 32                     // random draws for them, which may fall on the same ones
	relayHedgeDelay   = 30 * time.Millisecond  // after which the next peer is asked as well
	relayDialTimeout  = 150 * time.Millisecond // for a peer to connect to the replica
	relayReplyTimeout = relayDialTimeout + 50*time.Millisecond
	// Peers that must find a replica unreachable too before it counts as unreachable.
	minAgreeingPeers = 2
	// Fraction of the process's memory for connections that are relayed for peers, and what
	// one of them may hold: a stream's window and a block.
	relayMemoryShare = 0.1
	maxRelayedMB     = 0.3
	minRelayed       = 16 // connections that are relayed for peers in any case
	// While an instance relays, it asks the requesting one whether it is there: what
	// that one goes on with elsewhere must not run here as well. The limit is above the
	// pauses of a busy process.
	relayWatchInterval = 150 * time.Millisecond
	relayWatchLimit    = 500 * time.Millisecond
	// relayEndWait is the time in which a relaying instance lets go of a replica after the
	// requesting one has closed the connection, or is not heard any more.
	relayEndWait = relayWatchInterval + relayWatchLimit + relayWatchLimit/10
)

// relayResult is how a peer's try to connect to a replica ended. The numbers are stable.
type relayResult uint32

const (
	relayConnected relayResult = 1
	relaySilent    relayResult = 2 // the replica did not answer
	relayRefused   relayResult = 3 // its port refused
	relayCut       relayResult = 4 // the peer is cut off from it, too
	relayBusy      relayResult = 5 // the peer relays as many as it may
	relayUnlisted  relayResult = 6 // the peer does not list it
)

// Errors of connections through peers.
var (
	errNoPeer            = errors.New("no peer can relay a connection")
	errPeersNotConnected = errors.New("peers do not reach the replica either")
	errPeersUnclear      = errors.New("no peer knows whether the replica can be reached")
	errRequesterSilent   = errors.New("the instance that it is relayed for is not heard")
	errRelaySilent       = errors.New("the peer that relays it is not heard")
	// errPeersRefused also matches errPeersNotConnected.
	errPeersRefused = fmt.Errorf("%w: its port refuses them", errPeersNotConnected)
)

// dialThroughPeers asks peers for a connection to a replica, the next one a moment after the
// last, and returns the first that comes up.
func (n *Node) dialThroughPeers(ctx context.Context, t replicaTarget, within time.Duration) dialResult {
	peers := n.relayPeers(t.service)
	if len(peers) == 0 {
		return dialResult{err: errNoPeer}
	}
	select {
	case n.replicaLinks.asks <- struct{}{}:
		defer func() { <-n.replicaLinks.asks }()
	default:
		return dialResult{err: errPeersUnclear}
	}
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	r := n.askPeers(ctx, t, peers)
	if r.err != nil {
		n.counters.relayFailures.Inc(1)
		return r
	}
	n.counters.relayedConnections.Inc(1)
	n.replicaLinks.recordPeer(t.service, r.peer)
	return r
}

// askPeers asks the peers in their order until one has connected, enough have found that the
// replica can't be reached, or the context ends.
func (n *Node) askPeers(ctx context.Context, t replicaTarget, peers []gossip.Instance) dialResult {
	answers := make(chan peerAnswer, len(peers))
	next := time.NewTimer(0)
	defer next.Stop()
	asked, answered, agreeing, refused := 0, 0, 0, 0
	defer func() { go closeLateRelays(answers, asked-answered) }()
	for answered < len(peers) && agreeing < minAgreeingPeers {
		select {
		case <-next.C:
			if asked < len(peers) {
				peer := peers[asked]
				asked++
				go func() { answers <- n.askPeer(peer, t) }()
				next.Reset(relayHedgeDelay)
			}
		case a := <-answers:
			answered++
			if a.conn != nil {
				return dialResult{conn: n.replicaClient.Relayed(t.address, a.peer, a.conn), peer: a.peer}
			}
			n.replicaLinks.recordPeerFailure(n.now(), a.peer)
			if a.result == relayRefused || a.result == relaySilent {
				agreeing++
			}
			if a.result == relayRefused {
				refused++
			}
			next.Reset(0)
		case <-ctx.Done():
			return dialResult{err: errPeersUnclear}
		}
	}
	switch enough := min(minAgreeingPeers, len(peers)); {
	case refused >= enough:
		return dialResult{err: errPeersRefused}
	case agreeing >= enough:
		return dialResult{err: errPeersNotConnected}
	}
	return dialResult{err: errPeersUnclear}
}

// closeLateRelays closes the connections of peers that answer after another one has connected.
func closeLateRelays(answers <-chan peerAnswer, pending int) {
	for range pending {
		if a := <-answers; a.conn != nil {
			_ = a.conn.Close()
		}
	}
}

// relayPeers returns the peers that may relay a connection to a replica of a service, in the
// order in which they are asked.
func (n *Node) relayPeers(service string) []gossip.Instance {
	live := n.live()
	last := n.replicaLinks.lastPeer(service)
	random := newRandom()
	byName := make(map[string]gossip.Instance)
	add := func(names []string, i *gossip.Instance) []string {
		if _, isKnown := byName[i.Name]; isKnown || !n.mayRelay(i) {
			return names
		}
		byName[i.Name] = *i
		return append(names, i.Name)
	}
	var near, far []string
	for _, i := range live.Hall(n.settings.Hall) {
		near = add(near, i)
	}
	random.Shuffle(len(near), func(i, j int) { near[i], near[j] = near[j], near[i] })
	if i, ok := slices.BinarySearchFunc(live.Instances, last, func(x gossip.Instance, name string) int { return cmp.Compare(x.Name, name) }); ok {
		far = add(far, &live.Instances[i])
	}
	for tries := 0; len(far) < maxFarRelays && tries < maxFarDraws; tries++ {
		far = add(far, &live.Instances[random.IntN(len(live.Instances))])
	}
	var out []gossip.Instance
	for _, name := range n.replicaLinks.order(n.now(), service, near, far, maxRelayPeers) {
		out = append(out, byName[name])
	}
	return out
}

// mayRelay reports whether an instance may relay for this one. A request may be restricted to
// regions, so only those of this instance's own region may.
func (n *Node) mayRelay(i *gossip.Instance) bool {
	return i.Name != n.settings.Name && !i.Leaving && i.Region == n.home && i.Level >= featurelevel.RelayedConnections
}

// peerAnswer is a peer's answer to a request to relay a connection.
type peerAnswer struct {
	peer   string
	result relayResult // 0: the peer was not reached
	conn   *relay.Conn // nil unless it has connected
}

// askPeer asks one peer for a connection.
func (n *Node) askPeer(peer gossip.Instance, t replicaTarget) peerAnswer {
	answer := peerAnswer{peer: peer.Name}
	stream, err := n.links.Open(peer.PeerAddress, frame.Relay, &pb.RelayAsk{Replica: t.id, TimeoutMs: uint32(relayDialTimeout.Milliseconds())})
	if err != nil {
		n.logSideCallFailure("relay", peer.Name, err)
		return answer
	}
	_ = stream.SetDeadline(time.Now().Add(relayReplyTimeout))
	reply := &pb.RelayReply{}
	if err := frame.Read(stream, reply); err != nil {
		_ = stream.Close()
		n.logSideCallFailure("relay", peer.Name, err)
		return answer
	}
	answer.result = relayResult(reply.Result)
	if answer.result != relayConnected || stream.SetDeadline(time.Time{}) != nil {
		_ = stream.Close()
		return answer
	}
	answer.conn = relay.NewConn(stream)
	return answer
}

// serveRelay connects to a replica for a peer and carries the connection.
func (n *Node) serveRelay(first []byte, stream net.Conn) {
	ask := &pb.RelayAsk{}
	if err := proto.Unmarshal(first, ask); err != nil {
		event.NodeMessageInvalid.Log(n.log, "what", "request to relay", "from", stream.RemoteAddr().String(), "error", err)
		return
	}
	conn, result := n.connectForPeer(ask)
	if conn != nil {
		defer func() { <-n.replicaLinks.served }()
		defer conn.Close()
	}
	if err := frame.Write(stream, frame.Reply, &pb.RelayReply{Result: uint32(result)}); err != nil || conn == nil {
		return
	}
	n.counters.peerConnections.Inc(1)
	defer n.relayWatch.Add(stream, func() {
		_ = conn.Close()
		n.logSideCallFailure("relay for", stream.RemoteAddr().String(), errRequesterSilent)
	})()
	relay.Serve(stream, conn)
}

// connectForPeer connects to a replica for a peer. A connection must be closed and counts in
// served until then.
func (n *Node) connectForPeer(ask *pb.RelayAsk) (net.Conn, relayResult) {
	replica, isListed := n.snapshot.Load().list.Replica(ask.Replica)
	if !isListed {
		return nil, relayUnlisted
	}
	if n.replicaLinks.isCut(replica.ID) {
		return nil, relayCut
	}
	if n.stopping.Load() {
		return nil, relayBusy
	}
	select {
	case n.replicaLinks.served <- struct{}{}:
	default:
		n.counters.peerRefusals.Inc(1)
		return nil, relayBusy
	}
	n.counters.connections.Inc(1)
	conn, err := n.replicaClient.DialRaw(replica.Address, min(time.Duration(ask.TimeoutMs)*time.Millisecond, relayDialTimeout))
	if err == nil {
		return conn, relayConnected
	}
	<-n.replicaLinks.served
	if errors.Is(err, syscall.ECONNREFUSED) {
		return nil, relayRefused
	}
	return nil, relaySilent
}

// relayedForPeers returns how many connections this instance relays.
func (n *Node) relayedForPeers() int { return len(n.replicaLinks.served) }

// awaitRelayEnd waits until a stream that was sent through a peer has ended there, before it
// goes on elsewhere. Idle connections through a silent peer would hang as well.
func (a *attempt) awaitRelayEnd() {
	if a.route.Kind != catalog.Stream || !a.canFailOver() || !a.conn.AwaitRelayEnd(relayEndWait) {
		return
	}
	n, silent := a.node, a.conn.RelayedBy()
	n.logSideCallFailure("end a relayed stream", silent, errRelaySilent)
	n.replicaLinks.recordPeerFailure(n.now(), silent)
	n.replicaClient.CloseIdleThrough(func(peer string) bool { return peer == silent })
}

// leaveStoppingRelays closes the idle connections through instances that are stopping, which
// wait for those that they relay.
func (n *Node) leaveStoppingRelays(live []gossip.Instance) {
	if n.counters.relayedConnections.Count() == 0 {
		return
	}
	leaving := make(map[string]bool)
	for _, i := range live {
		if i.Leaving {
			leaving[i.Name] = true
		}
	}
	if len(leaving) > 0 {
		n.replicaClient.CloseIdleThrough(func(peer string) bool { return leaving[peer] })
	}
}
