package node

import (
	"fmt"
	"testing"
	"time"

	hclog "github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"quinceroad/coordination/regions"
	"quinceroad/coordination/speed"
	"quinceroad/platform"
	"quinceroad/protocol/pb"
	"quinceroad/state/catalog"
)

// owning returns a node whose configuration has one generating service, and its cell.
func owning(name string) (*Node, *cell) {
	n := New(&platform.Settings{Name: name, Hall: "h", Store: "127.0.0.1:1"}, hclog.NewNullLogger())
	services := map[string]*catalog.Service{"llm": {Name: "llm", Engine: &catalog.Engine{Slots: 64, MemoryTokens: 100_000}}}
	n.world.Store(&world{config: &catalog.Configuration{Services: services}, places: regions.New(nil)})
	return n, n.owner.cell(0)
}

func (c *cell) figures() speed.Estimate {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.engines.Speeds()["llm"].Estimate()
}

// told is a heartbeat's part of what owners observed, over the wire.
func told(t *testing.T, n *Node) []*pb.EngineSpeed {
	t.Helper()
	b, err := proto.Marshal(&pb.Heartbeat{Speeds: n.speedsToTell(false)})
	if err != nil {
		t.Fatal(err)
	}
	h := &pb.Heartbeat{}
	if err := proto.Unmarshal(b, h); err != nil {
		t.Fatal(err)
	}
	return h.Speeds
}

// A new owner, and one that had just begun, go by what the one before observed,
// also where an instance in between told it on.
func TestANewOwnerBeginsWithItsPeersFigures(t *testing.T) {
	is := is.New(t)
	old, seen := owning("old")
	seen.mu.Lock()
	service := speed.New(speed.DefaultOptions())
	seen.engines.Speeds()["llm"] = service
	for i := range 100 {
		service.Observe(time.Duration(i)*10*time.Millisecond, &speed.ReplicaEstimator{}, 100<<(i%9), 60*time.Millisecond+time.Duration(100<<(i%9))*9*time.Microsecond, false)
	}
	seen.mu.Unlock()
	old.noteSpeeds()
	between := New(&platform.Settings{Name: "between", Store: "127.0.0.1:1"}, hclog.NewNullLogger())
	between.takeSpeeds(told(t, old))
	between.takeSpeeds(told(t, old)) // again

	begun, cell := owning("begun")
	cell.prepare()
	begun.takeSpeeds(told(t, between))
	is.True(cell.figures().Median.PerToken < 10*time.Microsecond)

	late, _ := owning("late")
	late.takeSpeeds(told(t, between))
	cell = late.owner.cell(1)
	cell.prepare()
	is.True(cell.figures().Median.PerToken < 10*time.Microsecond)
	is.True(cell.figures().LongestPrompt > 20_000)
}

// A heartbeat stays one datagram, however many owners and services there are.
func TestFewSpeedsAreToldAtOnce(t *testing.T) {
	is := is.New(t)
	n, _ := owning("n")
	f := speed.Prior(9 * time.Microsecond)
	f.Count, f.LongestPrompt = 5000, 50_000
	for i := range uint32(100) {
		n.takeSpeeds([]*pb.EngineSpeed{toldOf(&speed.Record{Origin: i * 1e7, Service: fmt.Sprint("service-", i%3), Estimate: f})})
	}
	for range 50 {
		is.True(proto.Size(&pb.Heartbeat{Speeds: n.speedsToTell(false)}) < 200)
	}
	is.True(proto.Size(&pb.Heartbeat{Speeds: n.speedsToTell(true)}) < 200)
}
