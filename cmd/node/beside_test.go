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

// Builds before this one name a replica by its name in every life, or don't know
// turns of suspects. What they say is understood, and what they are told too.

// besideNode returns a node that knows one replica, in its second life.
func besideNode(t *testing.T) *Node {
	n := newNodeWithReplicas(t, 0)
	n.replicas.changeLog.Replace(map[string][]byte{"e1": replicaEntry(t, &catalog.Replica{
		Service: "llm", Address: "10.0.0.1:80", Hall: "h", Version: "v", Slots: 1, StartMillis: 7,
	})}, 101)
	n.publish()
	return n
}

// A peer of an older build says by name that a replica leaves, or is sick.
func TestANameIsTakenForTheListedLife(t *testing.T) {
	is := is.New(t)
	n := besideNode(t)
	is.Equal(len(n.world.Load().eligibleByService["llm"]), 1)
	sender := &pb.InstanceNews{Name: "old", Incarnation: 1, Count: 1}
	n.handleHeartbeat(&pb.Heartbeat{News: []*pb.InstanceNews{sender}, Sick: []*pb.SickReplica{{Id: "e1", LeftMs: 900}}})
	is.True(n.ejectedReplicas()["e1@7"])
	n.handleHeartbeat(&pb.Heartbeat{News: []*pb.InstanceNews{sender}, Leaving: []string{"e1"}})
	is.Equal(len(n.world.Load().eligibleByService["llm"]), 0)
}

// One of this build tells names for others, beside lives. The life that is listed
// here may be the next one, of which nothing is said.
func TestANameToldForOthersIsPassedOver(t *testing.T) {
	is := is.New(t)
	n := besideNode(t)
	sender := &pb.InstanceNews{Name: "new", Incarnation: 1, Count: 1, Level: buildLevel}
	n.handleHeartbeat(&pb.Heartbeat{News: []*pb.InstanceNews{sender}, Leaving: []string{"e1@6", "e1"}, LeavingStated: 1,
		Sick: []*pb.SickReplica{{Id: "e1@6", LeftMs: 900}, {Id: "e1", LeftMs: 900}}})
	is.Equal(len(n.world.Load().eligibleByService["llm"]), 1)
	is.Equal(len(n.ejectedReplicas()), 0)
}

// What a replica states holds for as long as its life is listed, however long it
// drains; a sign is tried again.
func TestAStatedLeavingOutlivesASign(t *testing.T) {
	is := is.New(t)
	n := besideNode(t)
	m := &ages{}
	n.clock = clock.NewFromSource(m)
	n.takeLeaving("e1@7", "its own")
	n.recordDrainSign("e2", "peer")
	for range 100 {
		m.day += time.Minute
		n.drainUpdates()
		n.sweepStatements()
		is.True(!n.replicaTakes("e1@7"))
	}
	is.True(n.replicaTakes("e2"))
	n.replicas.changeLog.Replace(map[string][]byte{"e1": replicaEntry(t, &catalog.Replica{
		Service: "llm", Address: "10.0.0.1:80", Hall: "h", Version: "v", Slots: 1, StartMillis: 8,
	})}, 102)
	n.publish()
	is.True(n.replicaTakes("e1@8"))
	is.Equal(len(n.world.Load().eligibleByService["llm"]), 1)
}

// ages is a source of a clock that a test moves.
type ages struct{ day time.Duration }

func (a *ages) Now() (steady, day time.Duration) { return a.day, a.day }
func (a *ages) Boot() (time.Duration, error)     { return a.day, nil }

// An owner of an older build names an engine by its name, and one of this build is
// asked by name to avoid one; it answers in the words that it is asked in.
func TestAsksAndAnswersNameReplicasInBothWays(t *testing.T) {
	is := is.New(t)
	n := besideNode(t)
	is.Equal(n.incarnationOf("e1"), "e1@7")
	is.Equal(n.incarnationOf("e1@7"), "e1@7")
	is.Equal(n.incarnationOf("e1@6"), "e1@6") // another life
	is.Equal(n.incarnationOf("e9"), "e9")     // not listed
	old := requestOf(&pb.StagesAsk{Avoid: []string{"e1"}}, n.incarnationOf)
	is.True(old.Avoid["e1@7"])
	is.Equal(n.replicaIDFor("e1@7", &pb.StagesAsk{}), "e1")                             // of before lives
	is.Equal(n.replicaIDFor("e1@7", &pb.StagesAsk{Fingerprint: 5}), "e1@7")             // of cd1a42e's build or later
	is.Equal(n.replicaIDFor("gone@3", &pb.StagesAsk{}), "gone@3")                       // not listed any more
	is.Equal(n.announcedReplicaIDs([]string{"e1@7", "x"}), []string{"e1@7", "x", "e1"}) // while not all know lives
}

// While an instance is alive that tells no level, what it can't read is told twice;
// once all tell theirs, once.
func TestNamesAreToldWhileSomebodyNeedsThem(t *testing.T) {
	is := is.New(t)
	n := besideNode(t)
	n.takeLeaving("e1@7", "its own")
	leaving, said := n.drainUpdates()
	is.Equal(leaving, []string{"e1@7", "e1"})
	is.Equal(said, 1)
	n.level.observe(0, []uint32{buildLevel})
	n.level.observe(time.Hour, []uint32{buildLevel})
	leaving, _ = n.drainUpdates()
	is.Equal(leaving, []string{"e1@7"})
}

// An arbiter of an older build ends the question for a turn: who asks passes it
// over, and doesn't ask it again.
func TestATurnIsGivenBesideInstancesThatKnowNone(t *testing.T) {
	is := is.New(t)
	n := besideNode(t)
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
		trial, err := n.turn(ctx, quarantine.Fingerprint(f+1))
		cancel()
		is.NoErr(err)
		trial.end()
	}
	is.True(len(asked) <= 3) // each once
}

// A peer that does not know a frame says so, and that is not taken for an answer.
func TestAnUnknownFrameIsRefused(t *testing.T) {
	is := is.New(t)
	n := besideNode(t)
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
