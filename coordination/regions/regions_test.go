package regions

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var threeRegions = map[string]string{"a1": "a", "a2": "a", "b1": "b", "c1": "c"}

func TestDistanceOfUnknownHallIsRemote(t *testing.T) {
	is := is.New(t)
	m := New(threeRegions)
	is.Equal(m.Distance("a1", "a1"), SameHall)
	is.Equal(m.Distance("a1", "a2"), SameRegion)
	is.Equal(m.Distance("a1", "b1"), Remote)
	is.Equal(m.Distance("a1", "x"), Remote)
	is.Equal(m.Distance("x", "y"), Remote) // two halls of unknown region don't share one
	is.Equal(m.Distance("x", "x"), SameHall)
	none := New(nil)
	is.Equal(none.Distance("a1", "b1"), SameRegion) // without configured regions all halls form one
}

// A single region's cells are numbered from 0, whether the region is configured
// or not.
func TestCellsOfSingleRegionStartAtZero(t *testing.T) {
	is := is.New(t)
	is.Equal(New(nil).CellNumber("", 2), 2)
	is.Equal(New(map[string]string{"h": "r"}).CellNumber("r", 2), 2)
}

func TestCellNumbersRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		halls := rapid.MapOf(rapid.StringN(1, 2, -1), rapid.StringN(0, 2, -1)).Draw(t, "halls")
		m := New(halls)
		region := rapid.SampledFrom(m.Names()).Draw(t, "region")
		local := rapid.IntRange(0, MaxCellsPerRegion-1).Draw(t, "local")
		gotRegion, gotLocal := m.RegionOfCell(m.CellNumber(region, local))
		if gotRegion != region || gotLocal != local {
			t.Fatalf("cell %d of %q maps back to cell %d of %q", local, region, gotLocal, gotRegion)
		}
	})
}

func TestRouteAndCustomerListsIntersect(t *testing.T) {
	is := is.New(t)
	is.True(Intersect(nil, nil).Allows("a"))
	is.True(Intersect(nil, nil).Allows(""))
	is.True(Intersect([]string{"a", "b"}, nil).Allows("b"))
	is.True(!Intersect([]string{"a"}).Allows("")) // a hall of unknown region is not allowed
	both := Intersect([]string{"a", "b"}, []string{"b", "c"})
	is.Equal(both.Names(), []string{"b"})
	none := Intersect([]string{"a"}, []string{"c"})
	is.True(none.IsRestricted())
	is.True(!none.Allows("a") && !none.Allows("c") && !none.Allows(""))
}

func TestRefusalAppliesToLessUrgentRequests(t *testing.T) {
	is := is.New(t)
	a := NewAvailability()
	a.RecordRefusal(time.Second, "b", 2)
	is.True(a.LikelyRefuses(time.Second+refusalTTL/2, "b", 2))
	is.True(a.LikelyRefuses(time.Second+refusalTTL/2, "b", 3))
	is.True(!a.LikelyRefuses(time.Second+refusalTTL/2, "b", 1)) // a more urgent one may be accepted
	is.True(!a.LikelyRefuses(time.Second+refusalTTL/2, "c", 2))
	is.True(!a.LikelyRefuses(time.Second+refusalTTL, "b", 2)) // it may have capacity again
}

func TestRoundTripsAreMeasured(t *testing.T) {
	is := is.New(t)
	trips := NewRoundTrips()
	is.Equal(trips.Estimate("b"), defaultRoundTrip)
	for range 30 {
		trips.Observe("b", 20*time.Millisecond)
	}
	is.Equal(trips.Estimate("b"), 20*time.Millisecond)
	trips.Observe("b", time.Minute) // a lost answer
	is.Equal(trips.Estimate("b"), 20*time.Millisecond)
}

func TestLocalRegionComesFirstAndOthersShareSpillover(t *testing.T) {
	is := is.New(t)
	all := []Candidate{{Region: "a", HasReplicas: true, HasInstances: true}, {Region: "b", HasReplicas: true, HasInstances: true}, {Region: "c", HasReplicas: true, HasInstances: true}}
	second := make(map[string]int)
	for i := range 300 {
		order := OrderCandidates("b", all, strconv.Itoa(i))
		is.Equal(len(order), 3)
		is.Equal(order[0], "b")
		second[order[1]]++
	}
	is.True(second["a"] > 100 && second["c"] > 100)
}

func TestRegionWithoutReplicasIsSkipped(t *testing.T) {
	is := is.New(t)
	all := []Candidate{{Region: "a"}, {Region: "b", HasReplicas: true}, {Region: "c", HasReplicas: true, HasInstances: true}}
	is.Equal(OrderCandidates("a", all, "x"), []string{"c", "b"}) // b has no instances: its owner runs elsewhere
	all = []Candidate{{Region: "a", HasInstances: true}, {Region: "b"}}
	is.Equal(OrderCandidates("a", all, "x"), []string{"a", "b"}) // an owner answers with the reason
	is.Equal(len(OrderCandidates("a", nil, "x")), 0)
}

// During a network partition each request with a new prompt waited for an
// answer from the unreachable region.
func TestUnresponsiveRegionIsSkippedUntilExpiry(t *testing.T) {
	is := is.New(t)
	a := NewAvailability()
	is.True(!a.IsUnresponsive(time.Second, "b"))
	a.RecordNoAnswer(time.Second, "b")
	is.True(a.IsUnresponsive(time.Second+unresponsiveTTL/2, "b"))
	is.True(a.LikelyRefuses(time.Second+unresponsiveTTL/2, "b", 0)) // whatever the rank
	is.True(!a.IsUnresponsive(time.Second+unresponsiveTTL/2, "c"))
	is.True(!a.IsUnresponsive(time.Second+unresponsiveTTL, "b"))
	a.RecordNoAnswer(time.Second, "b")
	a.RecordAnswer("b")
	is.True(!a.IsUnresponsive(time.Second+1, "b"))
}
