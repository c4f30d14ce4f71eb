package node

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"quinceroad/coordination/gossip"
	"quinceroad/coordination/quarantine"
	"quinceroad/protocol/frame"
	"quinceroad/protocol/pb"
	"quinceroad/state/catalog"
	"quinceroad/transport/clock"
	"quinceroad/transport/link"
)

// Older builds identify a replica by its name in all its incarnations, or don't support
// trial leases. This build must understand their messages, and send messages that they
// understand.

// nodeWithOneReplica returns a node whose list of replicas has one entry, with a start
// time.
func nodeWithOneReplica(t *testing.T) *Node {
	n := newNodeWithReplicas(t, 0)
	n.replicas.changeLog.Replace(0, map[string][]byte{"e1": replicaEntry(t, &catalog.Replica{
		Service: "llm", Address: "10.0.0.1:80", Hall: "h", Version: "v", Slots: 1, StartMillis: 7,
	})}, pointAt(101))
	n.publishSnapshot()
	return n
}

// A peer of an older build reports a draining or ejected replica by name, which denotes the
// listed incarnation.
func TestReplicaNameDenotesListedIncarnation(t *testing.T) {
	is := is.New(t)
	n := nodeWithOneReplica(t)
	is.Equal(len(n.snapshot.Load().eligible("llm")), 1)
	sender := &pb.InstanceNews{Name: "old", Incarnation: 1, Count: 1}
	n.handleHeartbeat(&pb.Heartbeat{News: []*pb.InstanceNews{sender}, Sick: []*pb.SickReplica{{Id: "e1", LeftMs: 900}}})
	is.True(n.ejectedReplicas()["e1@7"])
	n.handleHeartbeat(&pb.Heartbeat{News: []*pb.InstanceNews{sender}, Leaving: []string{"e1"}})
	is.Equal(len(n.snapshot.Load().eligible("llm")), 0)
}

// A peer of this build sends names for older peers, in addition to incarnations. They must
// be ignored: the incarnation listed here may be the next one, which the report does not
// concern.
func TestNamesFromANewBuildAreIgnored(t *testing.T) {
	is := is.New(t)
	n := nodeWithOneReplica(t)
	sender := &pb.InstanceNews{Name: "new", Incarnation: 1, Count: 1, Level: buildLevel}
	n.handleHeartbeat(&pb.Heartbeat{News: []*pb.InstanceNews{sender}, Leaving: []string{"e1@6", "e1"}, LeavingStated: 1,
		Sick: []*pb.SickReplica{{Id: "e1@6", LeftMs: 900}, {Id: "e1", LeftMs: 900}}})
	is.Equal(len(n.snapshot.Load().eligible("llm")), 1)
	is.Equal(len(n.ejectedReplicas()), 0)
}

// A drain that a replica stated lasts for as long as its incarnation is listed. One that was
// only inferred expires, so that the replica is tried again.
func TestStatedDrainOutlastsInferredDrain(t *testing.T) {
	is := is.New(t)
	n := nodeWithOneReplica(t)
	source := &manualTime{}
	n.clock = clock.NewFromSource(source)
	n.recordStatedDrain("e1@7", "its own")
	n.recordInferredDrain("e2", "peer")
	for range 100 {
		source.elapsed += time.Minute
		n.drainUpdates()
		n.sweepAdvisories()
		is.True(!n.replicaAcceptsWork("e1@7"))
	}
	is.True(n.replicaAcceptsWork("e2"))
	n.replicas.changeLog.Replace(0, map[string][]byte{"e1": replicaEntry(t, &catalog.Replica{
		Service: "llm", Address: "10.0.0.1:80", Hall: "h", Version: "v", Slots: 1, StartMillis: 8,
	})}, pointAt(102))
	n.publishSnapshot()
	is.True(n.replicaAcceptsWork("e1@8"))
	is.Equal(len(n.snapshot.Load().eligible("llm")), 1)
}

// manualTime is a clock source that a test advances.
type manualTime struct{ elapsed time.Duration }

func (m *manualTime) Now() (steady, day time.Duration) { return m.elapsed, m.elapsed }
func (m *manualTime) Boot() (time.Duration, error)     { return m.elapsed, nil }

// An owner of an older build identifies an engine by name, and a peer of an older build asks
// to avoid one by name. Answers identify replicas in the same way as the request.
func TestMessagesIdentifyReplicasAsThePeerDoes(t *testing.T) {
	is := is.New(t)
	n := nodeWithOneReplica(t)
	is.Equal(n.incarnationOf("e1"), "e1@7")
	is.Equal(n.incarnationOf("e1@7"), "e1@7")
	is.Equal(n.incarnationOf("e1@6"), "e1@6") // another incarnation
	is.Equal(n.incarnationOf("e9"), "e9")     // not listed
	old := decodePlacementRequest(&pb.StagesAsk{Avoid: []string{"e1"}}, n.incarnationOf)
	is.True(old.Avoid["e1@7"])
	is.Equal(n.replicaIDFor("e1@7", &pb.StagesAsk{}), "e1")                             // from a build without incarnations
	is.Equal(n.replicaIDFor("e1@7", &pb.StagesAsk{Fingerprint: 5}), "e1@7")             // from build cd1a42e or later
	is.Equal(n.replicaIDFor("gone@3", &pb.StagesAsk{}), "gone@3")                       // no longer listed
	is.Equal(n.announcedReplicaIDs([]string{"e1@7", "x"}), []string{"e1@7", "x", "e1"}) // while some instances don't support incarnations
}

// Replicas are identified both by incarnation and by name while an instance is alive that
// announces no level, and by incarnation only once all announce theirs.
func TestNamesAreSentUntilAllPeersReadIncarnations(t *testing.T) {
	is := is.New(t)
	n := nodeWithOneReplica(t)
	n.recordStatedDrain("e1@7", "its own")
	draining, statedCount := n.drainUpdates()
	is.Equal(draining, []string{"e1@7", "e1"})
	is.Equal(statedCount, 1)
	n.level.observe(0, buildLevel)
	n.level.observe(time.Hour, buildLevel)
	draining, _ = n.drainUpdates()
	is.Equal(draining, []string{"e1@7"})
}

// An arbiter of an older build closes the stream of a request for a trial lease. The
// requester moves on to the next arbiter and does not ask that one again.
func TestTrialLeaseIsGrantedDespiteOldArbiters(t *testing.T) {
	is := is.New(t)
	n := nodeWithOneReplica(t)
	asked := make(chan frame.Kind, 100)
	for i := range 3 {
		at := fmt.Sprintf("127.0.0.1:%d", freePort(t))
		server, err := link.Listen(at, func(k frame.Kind, _ []byte, _ net.Conn) { asked <- k }, &n.traffic)
		is.NoErr(err)
		defer server.Stop()
		n.members.Merge(n.now(), gossip.Instance{Name: fmt.Sprint("old", i), Incarnation: 1, HeartbeatCount: 1, PeerAddress: at})
	}
	for f := range 20 {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		trial, err := n.trials.Acquire(ctx, quarantine.Fingerprint(f+1))
		cancel()
		is.NoErr(err)
		trial.Release()
	}
	is.True(len(asked) <= 3) // each instance at most once
}

// A peer that does not support a frame kind refuses it, which must not count as an answer.
func TestAnUnknownFrameIsRefused(t *testing.T) {
	is := is.New(t)
	n := nodeWithOneReplica(t)
	at := fmt.Sprintf("127.0.0.1:%d", freePort(t))
	server, err := link.Listen(at, n.servePeer, &n.traffic)
	is.NoErr(err)
	defer server.Stop()
	err = n.links.Call(at, frame.Kind(200), &pb.TrialAsk{}, &pb.TrialReply{}, time.Second)
	is.Equal(err, frame.ErrUnknownKind)
}

func freePort(t *testing.T) int {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port
}
