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

// No message of a peer with another version or a bug may crash this process. A StagesAsk
// that crashes its owner would be sent to the successors and crash up to three instances.
func TestNoPeerMessageCrashesAnInstance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newTwoReplicaNode()
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
				fillRandom(t, h.ProtoReflect(), 3)
				if len(h.News) > 0 { // heartbeats without entries are dropped on receipt
					n.handleHeartbeat(h)
				}
			case 1:
				n.receiveRandom(t, frame.RunStages, &pb.StagesAsk{})
			case 2:
				n.receiveRandom(t, frame.TrialLease, &pb.TrialAsk{})
			case 3:
				n.receiveRandom(t, frame.CachedPrefix, &pb.KeptAsk{})
			case 4:
				n.receiveRandom(t, frame.PullReplicas, &pb.PullReplicas{})
			case 5:
				n.servePeer(frame.Kind(rapid.IntRange(0, 40).Draw(t, "frame")), rapid.SliceOfN(rapid.Byte(), 0, 40).Draw(t, "bytes"), newClosedConn())
			}
		}
		n.owner.refreshCells()
		for _, c := range n.owner.allCells() {
			c.runStep(c.scheduler.Tick)
		}
		n.State()
	})
}

// newTwoReplicaNode returns a node that is not started, with two engines and two
// replicas of a pool, which are unreachable.
func newTwoReplicaNode() *Node {
	n := New(&platform.Settings{Name: "n1", Hall: "h1", IP: "127.0.0.1", HeartbeatPort: 1, RetryRatio: 0.2, RetrySlack: 50}, hclog.NewNullLogger())
	config := &catalog.Configuration{Version: 1, Services: map[string]*catalog.Service{
		"pool": {Name: "pool", Pool: &catalog.Pool{Slots: 1, MaxBatch: 4, BatchTime: time.Millisecond, ItemTime: time.Millisecond, ResultMemory: 1000, ResultTTL: time.Second}},
		"llm":  {Name: "llm", Engine: &catalog.Engine{Slots: 4, MemoryTokens: 1000}},
	}}
	config.Index()
	var replicas []catalog.Replica
	for _, id := range []string{"pool-1", "pool-2", "llm-1", "llm-2"} {
		r := catalog.Replica{ID: id, Service: id[:len(id)-2], Hall: "h1", Address: "127.0.0.1:1", Slots: 4}
		replicas = append(replicas, r)
	}
	n.snapshot.Store(snapshotOf(config, n.regionMap, replicas))
	return n
}

// receiveRandom serves a message of random fields as the first of a stream that the peer
// closes at once.
func (n *Node) receiveRandom(t *rapid.T, k frame.Kind, m proto.Message) {
	fillRandom(t, m.ProtoReflect(), 3)
	first, err := proto.Marshal(m)
	if err != nil {
		t.Fatal(err) // all filled fields can be encoded
	}
	n.servePeer(k, first, newClosedConn())
}

// newClosedConn returns a stream whose other end is closed: reads end and writes fail.
func newClosedConn() net.Conn {
	local, remote := net.Pipe()
	_ = remote.Close()
	return local
}

// Field values: those that the tests use, and extremes.
var (
	sampleStrings = []string{"", "pool", "llm", "n1", "h1", "pool-1", "llm-1", "127.0.0.1:1", "a\x00b"}
	sampleNumbers = []uint64{0, 1, 2, 7, math.MaxInt32, math.MaxUint32, math.MaxInt64, math.MaxUint64}
)

// fillRandom sets random fields of a message, nested ones up to a depth.
func fillRandom(t *rapid.T, m protoreflect.Message, depth int) {
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
						fillRandom(t, entry.Message(), depth-1)
					}
					list.Append(entry)
					continue
				}
				list.Append(randomValue(t, f))
			}
		case f.Message() != nil:
			if depth > 0 {
				fillRandom(t, m.Mutable(f).Message(), depth-1)
			}
		default:
			m.Set(f, randomValue(t, f))
		}
	}
}

func randomValue(t *rapid.T, f protoreflect.FieldDescriptor) protoreflect.Value {
	number := rapid.SampledFrom(sampleNumbers).Draw(t, "number")
	switch f.Kind() {
	case protoreflect.BoolKind:
		return protoreflect.ValueOfBool(number%2 == 1)
	case protoreflect.StringKind:
		return protoreflect.ValueOfString(rapid.SampledFrom(sampleStrings).Draw(t, "text"))
	case protoreflect.BytesKind:
		return protoreflect.ValueOfBytes([]byte(rapid.SampledFrom(sampleStrings).Draw(t, "bytes")))
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

// A StagesAsk of four billion items exhausted the memory of its owner.
func TestOutOfBoundsStagesAskIsRejected(t *testing.T) {
	is := is.New(t)
	ask := func(items uint32, bytes int64, after ...uint32) *pb.StagesAsk {
		return &pb.StagesAsk{Stages: []*pb.StageWork{{Service: "pool", Pieces: items, Bytes: bytes, After: after}}}
	}
	is.NoErr(validateStagesAsk(ask(platform.MaxStageItems, 1<<20)))
	for _, ask := range []*pb.StagesAsk{
		ask(math.MaxUint32, 1),
		ask(1, -1),
		ask(1, 1, 0),
		{Stages: make([]*pb.StageWork, maxStages+1)},
		{Parts: make([]*pb.PromptPart, platform.MaxPromptParts+1)},
		{Parts: []*pb.PromptPart{{Tokens: math.MaxUint32}}},
		{TokensOut: math.MaxUint32},
		{SlackUs: math.MinInt64},
	} {
		is.True(validateStagesAsk(ask) != nil)
	}
}
