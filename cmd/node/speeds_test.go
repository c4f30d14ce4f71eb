package node

import (
	"fmt"
	"testing"
	"time"

	hclog "github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"quinceroad/cmd/node/speeds"
	"quinceroad/coordination/listing"
	"quinceroad/coordination/regions"
	"quinceroad/coordination/speed"
	"quinceroad/platform"
	"quinceroad/protocol/pb"
	"quinceroad/state/catalog"
)

// newOwningNode returns a node whose configuration has one generating service, and its
// cell.
func newOwningNode(name string) (*Node, *cell) {
	n := New(&platform.Settings{Name: name, Hall: "h", StoreAddress: "127.0.0.1:1"}, hclog.NewNullLogger())
	services := map[string]*catalog.Service{"llm": {Name: "llm", Engine: &catalog.Engine{Slots: 64, MemoryTokens: 100_000}}}
	n.snapshot.Store(&snapshot{config: &catalog.Configuration{Services: services}, regionMap: regions.New(nil), list: listing.Empty(), divided: true})
	return n, n.owner.cell(0)
}

func (c *cell) speedEstimate() speed.Estimate {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.engines.Speeds()["llm"].Estimate()
}

// announcedSpeeds returns the speeds of a node's heartbeat after encoding and decoding.
func announcedSpeeds(t *testing.T, n *Node) []*pb.EngineSpeed {
	t.Helper()
	b, err := proto.Marshal(&pb.Heartbeat{Speeds: n.speeds.Updates(n.now(), false)})
	if err != nil {
		t.Fatal(err)
	}
	h := &pb.Heartbeat{}
	if err := proto.Unmarshal(b, h); err != nil {
		t.Fatal(err)
	}
	return h.Speeds
}

// A new owner, and one that has few observations, start with the speeds that the
// previous owner observed, also if these were relayed by another instance.
func TestNewOwnerIsSeededWithPeerSpeeds(t *testing.T) {
	is := is.New(t)
	oldOwner, oldCell := newOwningNode("old")
	oldCell.mu.Lock()
	service := speed.New(speed.DefaultOptions())
	oldCell.engines.Speeds()["llm"] = service
	for i := range 100 {
		service.Observe(time.Duration(i)*10*time.Millisecond, &speed.ReplicaEstimator{}, 100<<(i%9), 60*time.Millisecond+time.Duration(100<<(i%9))*9*time.Microsecond, false)
	}
	oldCell.mu.Unlock()
	oldOwner.recordLocalSpeeds()
	relay := New(&platform.Settings{Name: "between", StoreAddress: "127.0.0.1:1"}, hclog.NewNullLogger())
	relay.mergeSpeeds(announcedSpeeds(t, oldOwner))
	relay.mergeSpeeds(announcedSpeeds(t, oldOwner)) // duplicate

	newOwner, cell := newOwningNode("begun")
	cell.prepare()
	newOwner.mergeSpeeds(announcedSpeeds(t, relay))
	is.True(cell.speedEstimate().Median.PerToken < 10*time.Microsecond)

	lateOwner, _ := newOwningNode("late")
	lateOwner.mergeSpeeds(announcedSpeeds(t, relay))
	cell = lateOwner.owner.cell(1)
	cell.prepare()
	is.True(cell.speedEstimate().Median.PerToken < 10*time.Microsecond)
	is.True(cell.speedEstimate().LongestPrompt > 20_000)
}

// A heartbeat fits one datagram whatever the number of owners and services.
func TestSpeedUpdatesAreBounded(t *testing.T) {
	is := is.New(t)
	n, _ := newOwningNode("n")
	f := speed.Prior(9 * time.Microsecond)
	f.Count, f.LongestPrompt = 5000, 50_000
	for i := range uint32(100) {
		n.mergeSpeeds([]*pb.EngineSpeed{speeds.Encode(&speed.Record{Origin: i * 1e7, Service: fmt.Sprint("service-", i%3), Estimate: f})})
	}
	for range 50 {
		is.True(proto.Size(&pb.Heartbeat{Speeds: n.speeds.Updates(n.now(), false)}) < 200)
	}
	is.True(proto.Size(&pb.Heartbeat{Speeds: n.speeds.Updates(n.now(), true)}) < 200)
}
