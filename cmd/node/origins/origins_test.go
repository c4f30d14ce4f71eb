package origins

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	hclog "github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
	metrics "github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"

	"quinceroad/coordination/featurelevel"
	"quinceroad/coordination/gossip"
	"quinceroad/coordination/origin"
	"quinceroad/protocol/frame"
	"quinceroad/protocol/pb"
)

// fleet is a set of keepers that call each other.
type fleet struct {
	mu       sync.Mutex
	calls    int
	keepers  map[string]*Keeper // by peer address
	dead     map[string]bool
	several  bool
	instance []gossip.Instance
}

var errDead = errors.New("no answer")

func newFleet(instances int) *fleet {
	f := &fleet{keepers: make(map[string]*Keeper), dead: make(map[string]bool)}
	for i := range instances {
		name := fmt.Sprintf("n%04d", i)
		f.instance = append(f.instance, gossip.Instance{Name: name, Hall: fmt.Sprint("h", i%4), PeerAddress: name, Level: featurelevel.StreamOrigins})
	}
	live := gossip.NewLive(f.instance)
	for _, x := range f.instance {
		f.keepers[x.Name] = New(Options{
			Name: x.Name, Now: func() time.Duration { return 0 }, Live: func() *gossip.Live { return live }, Peers: f,
			Log: hclog.NewNullLogger(), Registry: metrics.NewRegistry(), HasSeveralBuilds: func(string) bool { return f.several },
		})
	}
	return f
}

// Call implements Peers.
func (f *fleet) Call(address string, k frame.Kind, request, reply proto.Message, _ time.Duration) error {
	f.mu.Lock()
	f.calls++
	dead := f.dead[address]
	f.mu.Unlock()
	if dead {
		return errDead
	}
	message, err := proto.Marshal(request)
	if err != nil {
		return err
	}
	serve := f.keepers[address].ServeFind
	if k == frame.RecordOrigin {
		serve = f.keepers[address].ServeRecord
	}
	answer, err := proto.Marshal(serve(message))
	if err != nil {
		return err
	}
	return proto.Unmarshal(answer, reply)
}

// takeCalls returns the number of calls since the last time.
func (f *fleet) takeCalls() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	calls := f.calls
	f.calls = 0
	return calls
}

// record records a stream at an instance and waits until the copies are under way no more.
func (f *fleet) record(t *testing.T, at string, r origin.Record) {
	k := f.keepers[at]
	k.Record(r)
	for end := time.Now().Add(5 * time.Second); k.sending.Load() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the copies are not sent")
		}
	}
}

// A stream costs the same messages whatever the number of instances, and each instance finds
// its record.
func TestMessagesDoNotGrowWithTheFleet(t *testing.T) {
	is := is.New(t)
	for _, instances := range []int{100, 2000} {
		f := newFleet(instances)
		key := origin.KeyOf("c", "id")
		f.record(t, "n0000", origin.Record{Key: key, Service: "llm", Build: "v1"})
		is.Equal(f.takeCalls(), origin.Copies)
		for _, x := range f.instance[:50] {
			found := f.keepers[x.Name].Find(context.Background(), key, "llm")
			is.True(found.Known)
			is.Equal(found.Record.Build, "v1")
		}
		is.True(f.takeCalls() <= 50*origin.Asked)
	}
}

// Holders that don't answer are replaced, so that the record has its copies.
func TestRecordGoesToTheNextInstance(t *testing.T) {
	is := is.New(t)
	f := newFleet(12)
	key := origin.KeyOf("c", "id")
	candidates := f.keepers["n0000"].candidates(key)
	f.dead[candidates[0].Name], f.dead[candidates[1].Name] = true, true
	f.record(t, "n0000", origin.Record{Key: key, Service: "llm", Build: "v1"})
	copies := 0
	for _, x := range f.instance {
		if _, ok := f.keepers[x.Name].table.get(0, key); ok && x.Name != "n0000" {
			copies++
		}
	}
	is.Equal(copies, origin.Copies)
	for _, x := range f.instance {
		f.dead[x.Name] = true
	}
	f.record(t, "n0000", origin.Record{Key: origin.KeyOf("c", "other"), Service: "llm", Build: "v1"})
	is.Equal(f.keepers["n0000"].unsent.Count(), int64(origin.Copies))
}

// What nobody knows is unknown, and peers tell that there were several builds.
func TestUnknownStream(t *testing.T) {
	is := is.New(t)
	f := newFleet(6)
	found := f.keepers["n0000"].Find(context.Background(), origin.KeyOf("c", "nobody"), "llm")
	is.True(!found.Known && !found.Several)
	is.Equal([2]int{found.Asked, found.Answered}, [2]int{5, 5})
	f.several = true
	found = f.keepers["n0000"].Find(context.Background(), origin.KeyOf("c", "nobody"), "llm")
	is.True(!found.Known && found.Several)
	is.Equal(f.keepers["n0000"].unknown.Count(), int64(2))
	f.keepers["n0000"].finding.Store(maxFinding) // many unknown IDs at once
	f.takeCalls()
	found = f.keepers["n0000"].Find(context.Background(), origin.KeyOf("c", "nobody"), "llm")
	is.True(!found.Known && found.Several)
	is.Equal(f.takeCalls(), 0)
}

// A message that can't be read, or has names without a bound, changes nothing.
func TestInvalidMessages(t *testing.T) {
	is := is.New(t)
	k := newFleet(1).keepers["n0000"]
	k.ServeRecord([]byte{0xff})
	k.ServeFind([]byte{0xff})
	long, err := proto.Marshal(&pb.OriginRecord{Key: 1, Service: string(make([]byte, origin.MaxNameLength+1))})
	is.NoErr(err)
	k.ServeRecord(long)
	is.Equal(k.table.len(), int64(0))
}
