package gossip

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// settledView returns the view of an instance of a fleet that has been running for a while.
func settledView(n int) *View {
	v := New(Instance{Name: "i0000", Hall: "h0", Incarnation: 1}, DefaultOptions())
	for i := 1; i < n; i++ {
		name := fmt.Sprintf("i%04d", i)
		v.Merge(0, Instance{Name: name, Hall: fmt.Sprint("h", i%9), Incarnation: 1, HeartbeatCount: 100, HeartbeatAddress: name})
	}
	random := rand.New(rand.NewPCG(1, 1))
	for len(v.pending) > 0 {
		v.Round(0, random)
	}
	return v
}

// A round allocates the same in a fleet of 100 and of 2,000 instances. Sorting all
// instances for each message allocated, and took, in proportion to the fleet.
func TestWorkOfARoundDoesNotGrowWithTheFleet(t *testing.T) {
	allocated := func(n int) float64 {
		v, random := settledView(n), rand.New(rand.NewPCG(1, 1))
		return testing.AllocsPerRun(100, func() { v.Round(0, random) })
	}
	if small, large := allocated(100), allocated(2000); large > small+1 {
		t.Errorf("a round of 100 instances allocates %.0f times, of 2,000 %.0f times", small, large)
	}
}

// A peer that names instances without end fills no memory: a view keeps a bounded number.
func TestInventedInstancesAreBounded(t *testing.T) {
	v := settledView(100)
	var invented []Instance
	for i := range 3 * DefaultOptions().MaxInstances {
		invented = append(invented, Instance{Name: fmt.Sprint("x", i), Incarnation: 1})
	}
	v.MergeSync(0, invented)
	if got := v.KnownCount(); got > DefaultOptions().MaxInstances+1 {
		t.Errorf("%d instances are kept", got)
	}
	if v.Merge(0, Instance{Name: "i0007", Hall: "h7", Incarnation: 2, HeartbeatCount: 1}); !v.IsAlive(0, "i0007", 2) {
		t.Error("an instance that was known before is not heard of any more")
	}
}

// The live instances are determined again when one of them may have timed out, joins or
// changes, and not for the counters that arrive with every message.
func TestLiveInstancesAreSharedUntilTheyChange(t *testing.T) {
	v := settledView(500)
	live := v.Live(0)
	now := time.Duration(0)
	for count := range uint64(50) {
		now += round
		for _, r := range v.sorted {
			v.MergeHeartbeat(now, Heartbeat{Key: r.key, Count: 200 + count})
		}
		if v.Live(now) != live {
			t.Fatalf("another list after %v in which nothing but counters has changed", now)
		}
	}
	v.Merge(now, Instance{Name: "i0007", Hall: "h7", Incarnation: 1, HeartbeatCount: 1000, HeartbeatAddress: "i0007", OwnedCells: []uint32{3}})
	changed := v.Live(now)
	if changed == live {
		t.Fatal("a cell has a new owner, and the list is the same")
	}
	v.MarkUnreachable(now, "i0009")
	if got := len(v.Live(now).Instances); got != 499 {
		t.Fatalf("%d live instances after one was found unreachable", got)
	}
	now += v.failureTimeout()
	if got := v.AliveCount(now); got != 1 {
		t.Fatalf("%d live instances after all have timed out", got)
	}
}
