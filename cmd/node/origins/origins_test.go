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

	"quinceroad/coordination/buildlog"
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
	store    *memoryStore
	readRate float64 // calls a second
	started  time.Time
	instance []gossip.Instance
}

// route is that of all streams of the tests.
const route = buildlog.Route("h/chat/")

// wanted is what the logs shall hold in all tests.
var wanted = buildlog.Wanted{Builds: []string{"v1"}, Routes: []buildlog.Route{route}}

var errDead = errors.New("no answer")

func newFleet(instances int) *fleet { return newFleetOf(instances, 1e6) }

// newFleetOf returns instances before a store that takes so many reads a second.
func newFleetOf(instances int, readRate float64) *fleet {
	f := &fleet{keepers: make(map[string]*Keeper), dead: make(map[string]bool), store: newMemoryStore(), readRate: readRate, started: time.Now()}
	for i := range instances {
		name := fmt.Sprintf("n%04d", i)
		f.instance = append(f.instance, gossip.Instance{Name: name, Hall: fmt.Sprint("h", i%4), PeerAddress: name, Level: featurelevel.Current})
	}
	for _, x := range f.instance {
		f.start(x.Name)
	}
	return f
}

// start starts an instance, which knows nothing.
func (f *fleet) start(name string) *Keeper {
	live := gossip.NewLive(f.instance)
	k := New(Options{
		Name: name, Now: func() time.Duration { return time.Since(f.started) }, Live: func() *gossip.Live { return live }, Peers: f, Store: f.store,
		Log: hclog.NewNullLogger(), Registry: metrics.NewRegistry(), StoreRates: StoreRates{Writes: 400, Reads: f.readRate},
		Wanted:    func() map[string]buildlog.Wanted { return map[string]buildlog.Wanted{"llm": wanted} },
		IsInTouch: func() bool { return true }, IsReader: func() bool { return true }, IsFirstStart: true,
	})
	f.mu.Lock()
	defer f.mu.Unlock()
	f.keepers[name] = k
	return k
}

// kill has an instance answer nobody.
func (f *fleet) kill(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dead[name] = true
}

// run starts what a keeper does by itself, until the test ends.
func (f *fleet) run(t *testing.T, k *Keeper) {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go k.Run(ctx)
}

// takeUp is a stream that is taken up again, with the name of its request or without.
func takeUp(id string) TakeUp {
	return TakeUp{Key: origin.KeyOf("c", id), IsNamed: id != "", Service: "llm", Route: route}
}

// Call implements Peers.
func (f *fleet) Call(address string, k frame.Kind, request, reply proto.Message, _ time.Duration) error {
	f.mu.Lock()
	f.calls++
	dead := f.dead[address]
	keeper := f.keepers[address]
	f.mu.Unlock()
	if dead {
		return errDead
	}
	message, err := proto.Marshal(request)
	if err != nil {
		return err
	}
	serve := map[frame.Kind]func([]byte) proto.Message{
		frame.FindOrigin: keeper.ServeFind, frame.RecordOrigin: keeper.ServeRecord,
		frame.CollectOrigins: keeper.ServeCollect, frame.ReadBuildLogs: keeper.ServeBuildLogs,
	}[k]
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
			r, known := f.keepers[x.Name].Find(context.Background(), takeUp("id")).Record()
			is.True(known)
			is.Equal(r.Build, "v1")
		}
		is.True(f.takeCalls() <= 50*origin.Asked)
		is.Equal(f.store.calls(), 0)
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

// What nobody knows is unknown, however many are asked, and with too many unknown IDs at once
// no further peers are.
func TestUnknownStream(t *testing.T) {
	is := is.New(t)
	f := newFleet(6)
	k := f.keepers["n0000"]
	v := k.Find(context.Background(), takeUp("nobody's"))
	is.True(!v.IsKnown())
	asked, answered := v.Peers()
	is.Equal([2]int{asked, answered}, [2]int{5, 5})
	f.kill("n0001")
	v = k.Find(context.Background(), takeUp("nobody's"))
	is.True(!v.IsKnown())
	asked, answered = v.Peers()
	is.Equal([2]int{asked, answered}, [2]int{5, 4})
	is.Equal(k.unknown.Count(), int64(2))
	k.finding.Store(maxFinding)
	v = k.Find(context.Background(), takeUp("nobody's"))
	is.True(!v.IsKnown())
	asked, _ = v.Peers()
	is.Equal(asked, 0)
	is.Equal(k.unknown.Count(), int64(3))
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
