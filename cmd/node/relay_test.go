package node

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"quinceroad/coordination/featurelevel"
	"quinceroad/coordination/gossip"
	"quinceroad/protocol/pb"
	"quinceroad/state/catalog"
)

// nodeBeforeReplica returns a node that lists one replica, at the address of a listener.
func nodeBeforeReplica(t *testing.T) (*Node, net.Listener) {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	n := newNodeWithReplicas(t, 0)
	n.replicas.changeLog.Replace(0, map[string][]byte{"e1": replicaEntry(t, &catalog.Replica{Service: "llm", Address: ln.Addr().String(), Hall: "h", Version: "v", Slots: 1})}, pointAt(101))
	n.publishSnapshot()
	return n, ln
}

func (n *Node) relayAnswer(t *testing.T, replica string) relayResult {
	t.Helper()
	conn, result := n.connectForPeer(&pb.RelayAsk{Replica: replica, TimeoutMs: 100})
	if (conn != nil) != (result == relayConnected) {
		t.Fatal("a connection and the answer disagree: ", result)
	}
	if conn != nil {
		_ = conn.Close()
	}
	return result
}

// What a peer is answered: it may ask for listed replicas only, is told a refusal from a
// silence, and that this instance is cut off, too, which proves nothing about the replica.
func TestAnswersToPeersThatAskForAConnection(t *testing.T) {
	is := is.New(t)
	n, ln := nodeBeforeReplica(t)
	is.Equal(n.relayAnswer(t, "e1"), relayConnected)
	<-n.replicaLinks.served
	is.Equal(n.relayAnswer(t, "other"), relayUnlisted)
	is.Equal(n.relayAnswer(t, ln.Addr().String()), relayUnlisted) // no address of the peer's choice
	r, _ := n.snapshot.Load().list.Replica("e1")
	n.recordCut(targetOf(&r), "p", errOwnLinkSilent)
	is.Equal(n.relayAnswer(t, "e1"), relayCut)
	n.recordReached(targetOf(&r))
	is.NoErr(ln.Close())
	is.Equal(n.relayAnswer(t, "e1"), relayRefused)
	is.Equal(len(n.replicaLinks.served), 0)
}

// An instance relays what its memory allows and refuses before.
func TestRelayedConnectionsAreBounded(t *testing.T) {
	is := is.New(t)
	n, _ := nodeBeforeReplica(t)
	for range cap(n.replicaLinks.served) {
		is.Equal(n.relayAnswer(t, "e1"), relayConnected)
	}
	is.Equal(n.relayAnswer(t, "e1"), relayBusy)
	<-n.replicaLinks.served
	is.Equal(n.relayAnswer(t, "e1"), relayConnected)
	is.True(cap(newReplicaLinks(1).served) >= minRelayed)
	is.True(float64(cap(newReplicaLinks(1000).served))*maxRelayedMB <= 1000*relayMemoryShare)
}

// Peers of older builds don't know the message, and those of other regions must not see a
// request that is restricted to this one. However many there are, a few are considered.
func TestOnlyPeersThatMayRelayAreAsked(t *testing.T) {
	is := is.New(t)
	n, _ := nodeBeforeReplica(t)
	merge := func(i gossip.Instance) {
		i.Incarnation, i.HeartbeatCount, i.PeerAddress = 1, 100, "10.0.0.1:1"
		n.members.Merge(n.now(), i)
	}
	merge(gossip.Instance{Name: "old", Hall: n.settings.Hall, Level: featurelevel.ReplicaIncarnations, Region: n.home})
	merge(gossip.Instance{Name: "leaving", Hall: n.settings.Hall, Level: featurelevel.RelayedConnections, Region: n.home, Leaving: true})
	merge(gossip.Instance{Name: "remote", Hall: n.settings.Hall, Level: featurelevel.RelayedConnections, Region: "elsewhere"})
	is.Equal(len(n.relayPeers("llm")), 0)
	is.Equal(n.dialThroughPeers(t.Context(), replicaTarget{id: "e1", service: "llm"}, time.Second).err, errNoPeer)
	merge(gossip.Instance{Name: "near", Hall: n.settings.Hall, Level: featurelevel.RelayedConnections, Region: n.home})
	is.Equal(len(n.relayPeers("llm")), 1)
	for i := range 500 {
		merge(gossip.Instance{Name: fmt.Sprint("far", i), Hall: "other", Level: featurelevel.RelayedConnections, Region: n.home})
	}
	peers := n.relayPeers("llm")
	is.Equal(len(peers), maxRelayPeers)
	is.Equal(peers[0].Name, "near")
}
