package origins

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"quinceroad/coordination/buildlog"
	"quinceroad/coordination/featurelevel"
	"quinceroad/coordination/origin"
)

// begin has streams begin at builds of the service at an instance, once the logs allow it.
func (f *fleet) begin(t *testing.T, k *Keeper, build string, ids ...string) {
	t.Helper()
	await(t, "build "+build+" is logged", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		return k.AwaitLogged(ctx, "llm", build, route)
	})
	for _, id := range ids {
		k.Record(origin.Record{Key: origin.KeyOf("c", id), Service: "llm", Build: build})
	}
}

// loseAll replaces all instances by fresh ones, once what they send has arrived.
func (f *fleet) loseAll(t *testing.T) {
	for _, x := range f.instance {
		k := f.keepers[x.Name]
		await(t, "the copies are sent", func() bool { return k.sending.Load() == 0 })
	}
	for _, x := range f.instance {
		f.start(x.Name)
	}
}

// await waits until ok returns true.
func await(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: not within 5 s", what)
		}
	}
}

// ORDER, LOST: after the loss of all instances a stream is taken up at the only build that
// there was, named or not.
func TestOnlyBuildIsKnownAfterTheLossOfAll(t *testing.T) {
	is := is.New(t)
	f := newFleet(6)
	f.run(t, f.keepers["n0000"])
	f.begin(t, f.keepers["n0000"], "v1", "a")
	f.loseAll(t)
	for _, id := range []string{"a", ""} {
		v := f.keepers["n0001"].Find(context.Background(), takeUp(id))
		r, known := v.Record()
		is.True(known)
		is.Equal(r.Build, "v1")
		is.Equal(v.Grounds(), origin.OnlyBuild)
	}
}

// ORDER, LOST: after the loss of all instances the build of a stream that was begun beside a
// second build is known from the store, also that of one that began before there were two; a
// client that does not name its stream is refused.
func TestBuildsAreKnownAfterTheLossOfAll(t *testing.T) {
	is := is.New(t)
	f := newFleet(6)
	for _, k := range f.keepers {
		f.run(t, k)
	}
	k := f.keepers["n0000"]
	f.begin(t, k, "v1", "earlier")
	f.begin(t, k, "v2", "later")
	await(t, "the records are in the store", func() bool { return f.written() == 2 })
	f.loseAll(t)
	for id, build := range map[string]string{"earlier": "v1", "later": "v2"} {
		v := f.keepers["n0001"].Find(context.Background(), takeUp(id))
		r, known := v.Record()
		is.True(known)
		is.Equal(r.Build, build)
	}
	v := f.keepers["n0002"].Find(context.Background(), takeUp(""))
	is.True(!v.IsKnown())
	is.Equal(v.Grounds(), origin.Several)
	v = f.keepers["n0002"].Find(context.Background(), takeUp("nobody's"))
	is.True(!v.IsKnown())
}

// written returns the number of records in the store.
func (f *fleet) written() (n int) {
	f.store.set(func() {
		for _, records := range f.store.records {
			n += len(records)
		}
	})
	return n
}

// ORDER: what an instance has seen before proves nothing: a second build that was logged by
// others while it saw none of it makes a stream unknown.
func TestOutOfStepInstanceDoesNotTrustWhatItKnows(t *testing.T) {
	is := is.New(t)
	f := newFleet(2)
	for _, k := range f.keepers {
		f.run(t, k)
	}
	f.begin(t, f.keepers["n0000"], "v1", "a")
	f.begin(t, f.keepers["n0001"], "v2", "b")
	f.kill("n0001") // its records can't be asked for
	v := f.keepers["n0000"].Find(context.Background(), takeUp("unheard of"))
	is.True(!v.IsKnown())
	f.store.set(func() { f.store.down = true })
	v = f.keepers["n0000"].Find(context.Background(), takeUp("unheard of"))
	is.True(!v.IsKnown())
	is.Equal(v.Grounds(), origin.Unread)
}

// ORDER: streams don't begin at a build that the store has not acknowledged, and begin at it
// once it is back, also if its answer to the write was lost.
func TestStreamsWaitForTheLog(t *testing.T) {
	is := is.New(t)
	f := newFleet(1)
	k := f.keepers["n0000"]
	f.run(t, k)
	f.begin(t, k, "v1", "a")
	f.store.set(func() { f.store.down = true })
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	is.True(!k.AwaitLogged(ctx, "llm", "v2", route))
	is.True(k.IsLogged("llm", "v1", route)) // others go on
	f.store.set(func() { f.store.down, f.store.lose = false, true })
	f.begin(t, k, "v2", "b")
}

// ORDER: after the store has come back from a copy, the logs that it holds prove nothing of
// streams that began before, and streams begin only once it holds the builds again.
func TestLogsOfAnEarlierEraProveNothing(t *testing.T) {
	is := is.New(t)
	f := newFleet(1)
	k := f.keepers["n0000"]
	f.run(t, k)
	f.begin(t, k, "v1", "a")
	var copied map[string]buildlog.Entry
	f.store.set(func() { copied = map[string]buildlog.Entry{"llm": f.store.logs["llm"]} })
	f.begin(t, k, "v2", "b")
	f.store.set(func() { f.store.logs, f.store.era = copied, 1 })
	is.True(!k.IsLogged("llm", "v2", route))
	f.loseAll(t)
	v := f.keepers["n0000"].Find(context.Background(), takeUp("b"))
	is.True(!v.IsKnown())
	f.run(t, f.keepers["n0000"])
	f.begin(t, f.keepers["n0000"], "v1", "c")
	v = f.keepers["n0000"].Find(context.Background(), takeUp("b"))
	is.True(!v.IsKnown())
}

// ORDER: while an instance of an older release, which begins streams without the logs, is
// live, the only build of a log proves nothing.
func TestOlderInstancesAreNotCovered(t *testing.T) {
	is := is.New(t)
	f := newFleet(2)
	f.run(t, f.keepers["n0000"])
	f.begin(t, f.keepers["n0000"], "v1", "a")
	f.instance[1].Level = featurelevel.StreamOrigins
	f.loseAll(t)
	v := f.keepers["n0000"].Find(context.Background(), takeUp("b"))
	is.True(!v.IsKnown())
	is.Equal(v.Grounds(), origin.Uncovered)
}

// An instance that starts while the store is away begins streams at the builds that its peers
// know to be logged, and takes no build for the only one.
func TestStartDuringAnOutageOfTheStore(t *testing.T) {
	is := is.New(t)
	f := newFleet(3)
	for _, k := range f.keepers {
		f.run(t, k)
		f.begin(t, k, "v1")
	}
	f.store.set(func() { f.store.down = true })
	k := f.start("n0000")
	f.run(t, k)
	k.Refresh()
	await(t, "peers have confirmed the build", func() bool { return k.IsLogged("llm", "v1", route) })
	is.True(!k.IsLogged("llm", "v2", route))
	is.True(!k.Find(context.Background(), takeUp("")).IsKnown())
}

// An instance that the store turns away reads and writes the logs through its peers.
func TestLogsThroughPeers(t *testing.T) {
	is := is.New(t)
	f := newFleet(3)
	f.run(t, f.keepers["n0001"])
	f.run(t, f.keepers["n0002"])
	cut := f.keepers["n0000"]
	cut.opts.Store = &cutStore{f.store}
	f.run(t, cut)
	f.begin(t, cut, "v1", "a")
	f.kill("n0001")
	v := cut.Find(context.Background(), takeUp(""))
	r, known := v.Record()
	is.True(known)
	is.Equal(r.Build, "v1")
}

// cutStore is the store for an instance that it turns away.
type cutStore struct{ *memoryStore }

func (s *cutStore) BuildLogs() (buildlog.Snapshot, error) { return buildlog.Snapshot{}, errDead }

func (s *cutStore) WriteBuildLogs(map[string]buildlog.Entry) error { return errDead }

// The calls to the store grow neither with the number of streams that are taken up at once nor,
// for one instance, with the number of instances.
func TestStoreCallsDoNotGrow(t *testing.T) {
	is := is.New(t)
	const (
		readsPerInstance = 16 // a second, those of the whole fleet
		maxCalls         = 50 // two reads of the logs, two of each of four shards by each of two collectors, some writes
	)
	for _, instances := range []int{100, 2000} {
		f := newFleetOf(instances, readsPerInstance*float64(instances))
		k := f.keepers["n0000"]
		f.run(t, k)
		f.begin(t, k, "v1", "a")
		f.begin(t, k, "v2", "b")
		before := f.store.calls()
		done := make(chan bool)
		const streams = 200
		for i := range streams {
			go func() { done <- k.Find(context.Background(), takeUp(fmt.Sprint("x", i))).IsKnown() }()
		}
		for range streams {
			is.True(!<-done)
		}
		calls := f.store.calls() - before
		t.Logf("%d instances: %d calls to the store for %d streams", instances, calls, streams)
		is.True(calls <= maxCalls)
	}
}
