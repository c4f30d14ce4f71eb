package node

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	hclog "github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"quinceroad/coordination/changes"
	"quinceroad/coordination/gossip"
	"quinceroad/platform"
	"quinceroad/protocol/pb"
	"quinceroad/state/catalog"
)

const slowLink = 10e6 / 8 // bytes a second, the least that deployments have stated

// knowing returns a node that knows of so many replicas.
func knowing(t testing.TB, replicas int) *Node {
	n := New(&platform.Settings{Name: "n", Hall: "h", Store: "127.0.0.1:1", LinkBytes: slowLink}, hclog.NewNullLogger())
	values := make(map[string][]byte)
	for i := range replicas {
		id := fmt.Sprintf("i-%08x", i*2654435761)
		values[id] = replicaEntry(t, &catalog.Replica{
			Service: "huvo11a", Address: fmt.Sprintf("10.%d.%d.%d:8080", i%4, i%250, i%199), Hall: "hall-a", Version: "v1", Slots: 24,
		})
	}
	n.replicas.log.Replace(values, 100)
	return n
}

func asked(t *testing.T, n *Node, have uint64) *pb.ReplicaChanges {
	t.Helper()
	first, err := proto.Marshal(&pb.PullReplicas{Have: have})
	if err != nil {
		t.Fatal(err)
	}
	return n.answerReplicas(first).(*pb.ReplicaChanges)
}

// The list for who knows nothing is made once, compressed, until it changes.
func TestAListIsMadeOnceForAllWhoAsk(t *testing.T) {
	is := is.New(t)
	n := knowing(t, 3000)
	first := asked(t, n, 0)
	is.True(len(first.Packed) > 0 && len(first.Packed) < 100_000) // of some 500,000
	opened, err := openChanges(first)
	is.NoErr(err)
	is.True(opened.Whole)
	is.Equal(len(opened.Entries), 3000)
	n.peerUpdates.left = 0 // as if it had waited
	is.True(asked(t, n, 0) == first)
	n.replicas.log.ApplyChanges([]changes.Entry{{ID: "new", Value: []byte("{}"), Revision: 101}}, 101)
	n.peerUpdates.left = 0
	opened, err = openChanges(asked(t, n, 0))
	is.NoErr(err)
	is.Equal(len(opened.Entries), 3001)
	small := asked(t, n, 100)
	is.Equal(len(small.Entries), 1) // short answers are plain, and never refused
}

// What is told to peers that are behind leaves most of the link to clients; who
// is refused asks another one.
func TestWhatIsToldStaysWithinAShareOfTheLink(t *testing.T) {
	is := is.New(t)
	told := &telling{}
	const size = 70_000
	sent := 0
	for now := time.Duration(0); now < 4*time.Second; now += 2 * time.Millisecond {
		if told.may(now, size, slowLink) {
			sent += size
		}
	}
	is.True(float64(sent) <= 4*slowLink*tellShare+2*size)
	is.True(float64(sent) >= 4*slowLink*tellShare-2*size)
	is.True(told.may(4*time.Second, tellingFree, slowLink))
	p := &pull{}
	is.True(!p.due(time.Second, hallPatience))
	is.True(p.due(2*time.Second, hallPatience))
	p.again()
	is.True(p.due(2*time.Second, hallPatience)) // without another wait
}

// Who starts beside one that reads for its hall does not read the lists from the
// store, unless no news comes.
func TestWhoStartsBesideAReaderWaitsForItsNews(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := New(&platform.Settings{Name: "n", Hall: "h", Store: "127.0.0.1:1"}, hclog.NewNullLogger())
		s := newFakeStore()
		n.store = s
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go n.followIntent(ctx)
		for count := uint64(1); n.now() < time.Second; count++ {
			n.gossipMu.Lock()
			for _, name := range []string{"r1", "r2", "r3"} { // as many as one hall has
				n.members.Merge(n.now(), gossip.Instance{Name: name, Hall: "h", Incarnation: 1, HeartbeatCount: 100 + count, IsReader: true})
			}
			n.gossipMu.Unlock()
			time.Sleep(20 * time.Millisecond)
			is.Equal(n.version(), uint64(0))
		}
		time.Sleep(2 * time.Second)
		synctest.Wait()
		is.Equal(n.version(), uint64(1))
		cancel()
		time.Sleep(time.Minute) // calls that were given up end
	})
}
