package origins

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"quinceroad/coordination/buildlog"
	"quinceroad/coordination/featurelevel"
	"quinceroad/coordination/origin"
	"quinceroad/protocol/frame"
)

// silentStore answers nothing until its calls' time is over.
type silentStore struct {
	*memoryStore
	silent *atomic.Bool
}

func (s *silentStore) BuildLogs() (buildlog.Snapshot, error) {
	if s.silent.Load() {
		time.Sleep(1500 * time.Millisecond)
		return buildlog.Snapshot{}, errDead
	}
	return s.memoryStore.BuildLogs()
}

// timedPeers gives up a call after its time.
type timedPeers struct{ *fleet }

func (p timedPeers) Call(address string, k frame.Kind, request, reply proto.Message, timeout time.Duration) error {
	done := make(chan error, 1)
	var mu sync.Mutex
	answer := proto.Clone(reply)
	go func() { err := p.fleet.Call(address, k, request, answer, timeout); done <- err }()
	select {
	case err := <-done:
		mu.Lock()
		defer mu.Unlock()
		if err == nil {
			proto.Merge(reply, answer)
		}
		return err
	case <-time.After(timeout):
		return errors.New("time-out")
	}
}

// An instance that starts while the store is silent begins streams at the builds that its peers
// know to be logged.
func TestStartDuringASilenceOfTheStore(t *testing.T) {
	f := newFleet(3)
	var silent atomic.Bool
	for _, k := range f.keepers {
		k.opts.Store = &silentStore{f.store, &silent}
		k.opts.Peers = timedPeers{f}
		f.run(t, k)
		f.begin(t, k, "v1")
	}
	silent.Store(true)
	k := f.start("n0000")
	k.opts.Store = &silentStore{f.store, &silent}
	k.opts.Peers = timedPeers{f}
	f.run(t, k)
	k.Refresh()
	for end := time.Now().Add(12 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if k.IsLogged("llm", "v1", route) {
			return
		}
	}
	t.Fatal("not confirmed by peers within 12 s")
}

// A service that leaves the configuration and returns has to be confirmed again.
func TestReturningServiceIsConfirmedAgain(t *testing.T) {
	is := is.New(t)
	f := newFleet(1)
	k := f.keepers["n0000"]
	var gone atomic.Bool
	k.opts.Wanted = func() map[string]buildlog.Wanted {
		if gone.Load() {
			return map[string]buildlog.Wanted{}
		}
		return map[string]buildlog.Wanted{"llm": wanted}
	}
	f.run(t, k)
	k.Refresh()
	await(t, "the build is logged", func() bool { return k.IsLogged("llm", "v1", route) })
	gone.Store(true)
	k.Refresh()
	f.store.set(func() { // another instance has had them leave the log
		f.store.revision++
		f.store.logs["llm"] = buildlog.Entry{Revision: f.store.revision}
	})
	gone.Store(false)
	k.Refresh()
	logged := k.IsLogged("llm", "v1", route)
	f.store.mu.Lock()
	t.Log("logged", logged, "store", f.store.logs["llm"])
	is.True(!logged || len(f.store.logs["llm"].Builds) > 0)
	f.store.mu.Unlock()
}

// After the store has come back from a copy, the records of streams that this instance has go
// to the store.
func TestRecordsGoToTheStoreAfterItsReturn(t *testing.T) {
	f := newFleet(1)
	k := f.keepers["n0000"]
	f.run(t, k)
	f.begin(t, k, "v1", "a")
	f.store.set(func() { f.store.era = 1 })
	f.begin(t, k, "v1", "b") // the log is incomplete now
	await(t, "both records are in the store", func() bool { return f.written() == 2 })
}

// A read of a shard does not push out the instance's own records.
func TestShardReadsKeepOwnRecords(t *testing.T) {
	is := is.New(t)
	f := newFleet(1)
	k := f.keepers["n0000"]
	k.stored.shards = 1
	for i := range 1000 {
		k.table.putOwn(0, origin.Record{Key: origin.KeyOf("c", fmt.Sprint("own", i)), Service: "llm", Build: "v1"})
	}
	for i := range 8000 {
		f.store.records[0] = append(f.store.records[0], origin.Record{Key: origin.KeyOf("c", fmt.Sprint("s", i)), Service: "llm", Build: "v1"})
	}
	for range 3 {
		_, _, searched := k.stored.readShard(context.Background(), 1)
		is.True(searched)
	}
	t.Log("kept", k.table.len())
	_, ok := k.table.get(0, origin.KeyOf("c", "own5"))
	is.True(ok)
}

// A settlement that another instance forestalled is looked at again, not written for ever.
func TestForestalledSettlementIsLookedAtAgain(t *testing.T) {
	is := is.New(t)
	f := newFleet(2)
	var now atomic.Int64
	clock := func() time.Duration { return time.Duration(now.Load()) }
	for _, k := range f.keepers {
		k.opts.Now = clock
		f.run(t, k)
	}
	a, b := f.keepers["n0000"], f.keepers["n0001"]
	f.begin(t, a, "v1")
	f.begin(t, a, "v2")
	_, err := b.logs.read()
	is.NoErr(err)
	_, err = a.logs.read()
	is.NoErr(err)
	for now.Load() < int64(10*time.Minute) {
		now.Add(int64(5 * time.Second))
		a.Expire()
		time.Sleep(time.Millisecond)
		b.Expire()
		time.Sleep(time.Millisecond)
	}
	f.store.mu.Lock()
	writes := f.store.writes
	f.store.mu.Unlock()
	t.Log("writes", writes)
	const maxWrites = 15 // those of the two builds and the two of the settlement, each tried by both instances
	is.True(writes < maxWrites)
}

// Many streams at once that wait for a build that is not listed any more all begin once the log has it.
func TestStreamsBeginAtAnUnlistedBuild(t *testing.T) {
	f := newFleet(1)
	k := f.keepers["n0000"]
	f.run(t, k)
	k.Refresh()
	await(t, "the build is logged", func() bool { return k.IsLogged("llm", "v1", route) })
	stop := make(chan bool)
	go func() {
		for {
			select {
			case <-stop:
				return
			default:
				k.Unlogged()
			}
		}
	}()
	defer close(stop)
	results := make(chan bool)
	const n = 50
	for range n {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			results <- k.AwaitLogged(ctx, "llm", "v9", route)
		}()
		time.Sleep(time.Millisecond)
	}
	failed := 0
	for range n {
		if !<-results {
			failed++
		}
	}
	f.store.mu.Lock()
	t.Log("failed", failed, "reads", f.store.reads)
	f.store.mu.Unlock()
	if failed > 0 {
		t.Error("streams were not begun")
	}
}

// The only build of a log proves nothing once an instance of an older release was live, also when it has gone.
func TestLogsAreIncompleteAfterOlderInstances(t *testing.T) {
	is := is.New(t)
	f := newFleet(2)
	f.run(t, f.keepers["n0000"])
	f.begin(t, f.keepers["n0000"], "v1", "a")
	f.instance[1].Level = featurelevel.StreamOrigins
	f.loseAll(t)
	f.run(t, f.keepers["n0000"])
	is.True(f.keepers["n0000"].hasOlderPeers())
	for range 20 {
		f.keepers["n0000"].Expire()
		f.keepers["n0000"].Refresh()
		time.Sleep(time.Millisecond)
	}
	// the older one begins streams at v2 and is replaced by a newer one
	f.instance[1].Level = featurelevel.Current
	f.loseAll(t)
	v := f.keepers["n0000"].Find(context.Background(), takeUp("b"))
	is.True(!v.IsKnown())
}

// At the first start all logs are complete, however many services there are.
func TestManyServicesAtTheFirstStart(t *testing.T) {
	f := newFleet(1)
	k := f.keepers["n0000"]
	k.opts.Store = &limitedStore{f.store}
	k.opts.Wanted = func() map[string]buildlog.Wanted {
		out := make(map[string]buildlog.Wanted)
		for i := range 40 {
			out[fmt.Sprint("s", i)] = buildlog.Wanted{Builds: []string{"v1"}, Routes: []buildlog.Route{buildlog.Route(fmt.Sprintf("h/%d/", i))}}
		}
		return out
	}
	f.run(t, k)
	k.Refresh()
	await(t, "all are logged", func() bool { return len(k.Unlogged()) == 0 })
	incomplete := 0
	for _, e := range f.store.logs {
		if e.Incomplete {
			incomplete++
		}
	}
	if incomplete > 0 {
		t.Errorf("%d of %d logs are incomplete", incomplete, len(f.store.logs))
	}
}

// limitedStore writes 32 entries at a time, as the store does.
type limitedStore struct{ *memoryStore }

func (s *limitedStore) WriteBuildLogs(logs map[string]buildlog.Entry) error {
	some := make(map[string]buildlog.Entry)
	for service, e := range logs {
		if len(some) < 32 {
			some[service] = e
		}
	}
	return s.memoryStore.WriteBuildLogs(some)
}
