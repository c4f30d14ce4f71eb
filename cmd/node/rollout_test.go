package node

import (
	"fmt"
	"testing"
	"time"

	hclog "github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"quinceroad/coordination/history"
	"quinceroad/coordination/listing"
	"quinceroad/coordination/rollout"
	"quinceroad/platform"
	"quinceroad/protocol/pb"
	"quinceroad/state/catalog"
)

func replicasOfVersions(versions ...string) []catalog.Replica {
	var out []catalog.Replica
	for i, v := range versions {
		out = append(out, catalog.Replica{ID: fmt.Sprint("r", i), Service: "s", Version: v})
	}
	return out
}

// An order back to the running version during a rollout of another one: no other version
// may serve, so the running one must get all requests in every phase.
func TestOrderBackToRunningVersionServes(t *testing.T) {
	is := is.New(t)
	r := newRollouts(&platform.Settings{CanaryShare: 0.1, CanarySlack: 50})
	r.view.Replace(0, []rollout.Order{{Service: "s", Target: "v2", At: pointAt(3), TimeLimit: time.Minute}}, pointAt(3))
	r.view.SetPhase(1, pointAt(3), rollout.Canary)
	r.view.Replace(2, []rollout.Order{{Service: "s", Target: "v1", At: pointAt(5), TimeLimit: time.Minute}}, pointAt(5))
	for _, phase := range []rollout.Phase{rollout.Pending, rollout.Canary, rollout.Promoted} {
		r.view.SetPhase(3, pointAt(5), phase)
		index := indexOf(nil, replicasOfVersions("v1", "v1", "v2"))
		shift := r.apply(4, nil, index)["s"]
		is.Equal(index.List().Len(), 3)
		for x := range index.List().All() {
			is.Equal(x.AcceptsWork(), x.Version == "v1")
		}
		for range 10 {
			is.True(r.allowsTarget(shift, "a", 1))
			is.True(r.tryRecordSend(shift, "a", "r0", 1))
		}
	}
}

// When the orders are gone, no replica stays withheld: the list keeps what the last order
// made of it.
func TestWithheldReplicasServeWhenOrdersAreGone(t *testing.T) {
	is := is.New(t)
	r := newRollouts(&platform.Settings{CanaryShare: 0.1, CanarySlack: 50})
	r.view.Replace(0, []rollout.Order{{Service: "s", Target: "v2", At: pointAt(3), TimeLimit: time.Minute}}, pointAt(3))
	index := indexOf(nil, replicasOfVersions("v1", "v2"))
	accepting := func() int {
		r.apply(4, nil, index)
		_, _, eligible := index.List().Count("s")
		return eligible
	}
	is.Equal(accepting(), 1)
	r.view = rollout.NewView()
	is.Equal(accepting(), 2)
}

// If all old replicas of a service are in a drained hall, the new version must still get
// no more than its share.
func TestDrainedOldReplicasDoNotRaiseShare(t *testing.T) {
	is := is.New(t)
	r := newRollouts(&platform.Settings{CanaryShare: 0.1, CanarySlack: 50})
	r.view.Replace(0, []rollout.Order{{Service: "s", Target: "v2", At: pointAt(3), TimeLimit: time.Minute}}, pointAt(3))
	r.view.SetPhase(1, pointAt(3), rollout.Canary)
	replicas := replicasOfVersions("v1", "v2", "v2")
	replicas[0].HallDrained = true
	shift := r.apply(4, nil, indexOf(nil, replicas))["s"]
	sent := 0
	for range 100 {
		if r.tryRecordSend(shift, "a", "r1", 1) {
			sent++
		}
	}
	is.True(sent <= 1)
}

// A report with many rows is split into messages that each fit a packet, without loss.
func TestLongReportFitsPackets(t *testing.T) {
	is := is.New(t)
	rep := rollout.Report{Sequence: 1, Rows: make(map[rollout.RowKey]*rollout.Tally)}
	for i := range 200 {
		tally := &rollout.Tally{Failed: 100}
		for b := range tally.Latencies {
			tally.Latencies[b] = 100
		}
		rep.Rows[rollout.RowKey{Route: "claim-dossier-review", Replica: fmt.Sprint("i-7f3a91c2-", i)}] = tally
	}
	reports := rollout.NewReports()
	for _, p := range encodeRolloutReport(pointAt(3), rep) {
		is.True(proto.Size(p) < compressFrom)
		reports.Merge("n1", 1, decodeRolloutReport(p))
	}
	rows, _, _ := reports.Sums()
	is.Equal(len(rows), 200)
}

// A peer repeats the same report while the replica restarts several times: its answers
// must be counted once.
func TestReportIsCountedOnceAcrossRestarts(t *testing.T) {
	is := is.New(t)
	n := newTwoReplicaNode()
	n.rollouts.view.Replace(0, []rollout.Order{{Service: "s", Target: "v2", At: pointAt(3), TimeLimit: time.Minute}}, pointAt(3))
	rep := rollout.Report{Sequence: 1, Rows: map[rollout.RowKey]*rollout.Tally{{Route: "a", Replica: "v0"}: {Failed: 1}}}
	heartbeat := &pb.Heartbeat{News: []*pb.InstanceNews{{Name: "n2", Incarnation: 1}}, Rollouts: &pb.Rollouts{Reports: encodeRolloutReport(pointAt(3), rep)}}
	for i, incarnation := range []string{"v0", "v0@1", "v0@2", "v0@3"} {
		snap := *n.snapshot.Load()
		snap.list = indexOf(nil, []catalog.Replica{{ID: incarnation, Name: "v0", StartMillis: int64(i), Service: "s"}}).List()
		n.snapshot.Store(&snap)
		n.mergeRollouts(heartbeat)
	}
	rows, _, _ := n.rollouts.progress(pointAt(3)).reports.Sums()
	failed := 0
	for _, tally := range rows {
		failed += int(tally.Failed)
	}
	is.Equal(failed, 1)
}

// That an order's target replicas may get a full batch says nothing of the next order for
// the same pool, which begins with its share.
func TestBatchAllowanceEndsWithItsOrder(t *testing.T) {
	is := is.New(t)
	n := New(&platform.Settings{Name: "n1", Hall: "h1", StoreAddress: "127.0.0.1:1", CanaryShare: 0.1, CanarySlack: 50}, hclog.NewNullLogger())
	config := &catalog.Configuration{Services: map[string]*catalog.Service{"s": {Name: "s", Pool: &catalog.Pool{MaxBatch: 1}}}}
	target := &catalog.Replica{ID: "r1", Service: "s"}
	shift := func(order history.Point) *trafficShift {
		return &trafficShift{order: order, share: 0.5, otherCount: 1, targetReplicas: map[string]bool{"r1": true}, selected: map[string]bool{"r1": true}}
	}
	snap := &snapshot{config: config, regionMap: n.regionMap, list: listing.Empty(), rolloutByService: map[string]*trafficShift{"s": shift(pointAt(3))}}
	n.snapshot.Store(snap)
	for range 40 { // until the share has saved up a batch
		n.rollouts.splitter.Allows(pointAt(3), "", 0.5, 0)
		n.rollouts.tryRecordSend(shift(pointAt(3)), "", "r0", 1)
		n.updateBatchAllowed([]rollout.OrderState{{Order: rollout.Order{Service: "s", Target: "v2", At: pointAt(3)}}})
	}
	is.True(!n.rollouts.isWithheldFromPool(config, shift(pointAt(3)), target))
	is.True(n.rollouts.isWithheldFromPool(config, shift(pointAt(5)), target))
}
