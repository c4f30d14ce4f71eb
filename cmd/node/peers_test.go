package node

import (
	"math"
	"net"
	"testing"
	"time"

	hclog "github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"pgregory.net/rapid"

	"quinceroad/platform"
	"quinceroad/protocol/frame"
	"quinceroad/protocol/pb"
	"quinceroad/state/catalog"
	"quinceroad/transport/datagram"
)

// An ask that ended its owner would be sent to the next one, and end three: as
// a request does that crashes the replicas which run it. Whatever a peer of
// another version or with a fault of its own sends, this process goes on.
func TestNoMessageOfAPeerEndsAnInstance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := nodeOfTwo()
		socket, err := datagram.Listen("127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer socket.Close()
		n.socket = socket
		for range rapid.IntRange(1, 4).Draw(t, "messages") {
			switch rapid.IntRange(0, 5).Draw(t, "kind") {
			case 0:
				h := &pb.Heartbeat{}
				fill(t, h.ProtoReflect(), 3)
				if len(h.News) > 0 { // or it is passed over as it is received
					n.takeHeartbeat(h)
				}
			case 1:
				n.sendTo(t, frame.Stages, &pb.StagesAsk{})
			case 2:
				n.sendTo(t, frame.Trial, &pb.TrialAsk{})
			case 3:
				n.sendTo(t, frame.Kept, &pb.KeptAsk{})
			case 4:
				n.sendTo(t, frame.PullReplicas, &pb.PullReplicas{})
			case 5:
				n.serveLink(frame.Kind(rapid.IntRange(0, 40).Draw(t, "frame")), rapid.SliceOfN(rapid.Byte(), 0, 40).Draw(t, "bytes"), closedConn())
			}
		}
		n.owner.refreshCells()
		for _, c := range n.owner.allCells() {
			c.runStep(c.scheduler.Tick)
		}
		n.State()
	})
}

// nodeOfTwo returns a process that is not started and serves from two engines
// and two replicas of a pool, which nobody can reach.
func nodeOfTwo() *Node {
	n := New(&platform.Settings{Name: "n1", Hall: "h1", IP: "127.0.0.1", DatagramPort: 1, RetryRatio: 0.2, RetrySlack: 50}, hclog.NewNullLogger())
	config := &catalog.Configuration{Version: 1, Services: map[string]*catalog.Service{
		"pool": {Name: "pool", Pool: &catalog.Pool{Slots: 1, MaxBatch: 4, BatchTime: time.Millisecond, ItemTime: time.Millisecond, ResultMemory: 1000, ResultTTL: time.Second}},
		"llm":  {Name: "llm", Engine: &catalog.Engine{Slots: 4, MemoryTokens: 1000}},
	}}
	config.Index()
	w := &world{config: config, listed: true, places: n.places, services: make(map[string][]catalog.Replica), sizes: make(map[string]int)}
	for _, id := range []string{"pool-1", "pool-2", "llm-1", "llm-2"} {
		r := catalog.Replica{ID: id, Service: id[:len(id)-2], Hall: "h1", Address: "127.0.0.1:1", Slots: 4}
		w.services[r.Service] = append(w.services[r.Service], r)
		w.all = append(w.all, r)
	}
	n.world.Store(w)
	return n
}

// sendTo gives the node a message of random fields as the first of a stream that
// its peer closes at once.
func (n *Node) sendTo(t *rapid.T, k frame.Kind, m proto.Message) {
	fill(t, m.ProtoReflect(), 3)
	first, err := proto.Marshal(m)
	if err != nil {
		t.Fatal(err) // all that is filled in can be written
	}
	n.serveLink(k, first, closedConn())
}

// closedConn is a stream whose other end is closed: reads end, writes fail.
func closedConn() net.Conn {
	near, far := net.Pipe()
	_ = far.Close()
	return near
}

// The values that fields are filled from: those that tests know, and bounds.
var (
	someStrings = []string{"", "pool", "llm", "n1", "h1", "pool-1", "llm-1", "127.0.0.1:1", "a\x00b"}
	someNumbers = []uint64{0, 1, 2, 7, math.MaxInt32, math.MaxUint32, math.MaxInt64, math.MaxUint64}
)

// fill gives a message random fields, nested ones down to a depth.
func fill(t *rapid.T, m protoreflect.Message, depth int) {
	fields := m.Descriptor().Fields()
	for i := range fields.Len() {
		f := fields.Get(i)
		if rapid.IntRange(0, 3).Draw(t, "left out") == 0 {
			continue
		}
		switch {
		case f.IsMap():
		case f.IsList():
			list := m.Mutable(f).List()
			for range rapid.IntRange(0, 3).Draw(t, "entries") {
				if f.Message() != nil {
					entry := list.NewElement()
					if depth > 0 {
						fill(t, entry.Message(), depth-1)
					}
					list.Append(entry)
					continue
				}
				list.Append(valueOf(t, f))
			}
		case f.Message() != nil:
			if depth > 0 {
				fill(t, m.Mutable(f).Message(), depth-1)
			}
		default:
			m.Set(f, valueOf(t, f))
		}
	}
}

func valueOf(t *rapid.T, f protoreflect.FieldDescriptor) protoreflect.Value {
	number := rapid.SampledFrom(someNumbers).Draw(t, "number")
	switch f.Kind() {
	case protoreflect.BoolKind:
		return protoreflect.ValueOfBool(number%2 == 1)
	case protoreflect.StringKind:
		return protoreflect.ValueOfString(rapid.SampledFrom(someStrings).Draw(t, "text"))
	case protoreflect.BytesKind:
		return protoreflect.ValueOfBytes([]byte(rapid.SampledFrom(someStrings).Draw(t, "bytes")))
	case protoreflect.DoubleKind:
		return protoreflect.ValueOfFloat64(math.Float64frombits(number))
	case protoreflect.FloatKind:
		return protoreflect.ValueOfFloat32(float32(number))
	case protoreflect.Int32Kind, protoreflect.Sint32Kind, protoreflect.Sfixed32Kind:
		return protoreflect.ValueOfInt32(int32(number))
	case protoreflect.Uint32Kind, protoreflect.Fixed32Kind:
		return protoreflect.ValueOfUint32(uint32(number))
	case protoreflect.Int64Kind, protoreflect.Sint64Kind, protoreflect.Sfixed64Kind:
		return protoreflect.ValueOfInt64(int64(number))
	case protoreflect.EnumKind:
		return protoreflect.ValueOfEnum(protoreflect.EnumNumber(number % 4))
	default:
		return protoreflect.ValueOfUint64(number)
	}
}

// An ask for four billion pieces took all memory of its owner.
func TestAnAskBeyondBoundsIsPassedOver(t *testing.T) {
	is := is.New(t)
	stage := func(pieces uint32, bytes int64, after ...uint32) *pb.StagesAsk {
		return &pb.StagesAsk{Stages: []*pb.StageWork{{Service: "pool", Pieces: pieces, Bytes: bytes, After: after}}}
	}
	is.NoErr(checkAsk(stage(platform.MostPieces, 1<<20)))
	for _, ask := range []*pb.StagesAsk{
		stage(math.MaxUint32, 1),
		stage(1, -1),
		stage(1, 1, 0),
		{Stages: make([]*pb.StageWork, mostStages+1)},
		{Parts: make([]*pb.PromptPart, platform.MostParts+1)},
		{Parts: []*pb.PromptPart{{Tokens: math.MaxUint32}}},
		{TokensOut: math.MaxUint32},
		{SlackUs: math.MinInt64},
	} {
		is.True(checkAsk(ask) != nil)
	}
}
