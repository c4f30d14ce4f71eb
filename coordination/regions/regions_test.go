package regions

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var three = map[string]string{"a1": "a", "a2": "a", "b1": "b", "c1": "c"}

func TestDistancesFollowHallsAndRegionsAndUnknownIsFar(t *testing.T) {
	is := is.New(t)
	m := New(three)
	is.Equal(m.Distance("a1", "a1"), SameHall)
	is.Equal(m.Distance("a1", "a2"), SameRegion)
	is.Equal(m.Distance("a1", "b1"), Remote)
	is.Equal(m.Distance("a1", "x"), Remote)
	is.Equal(m.Distance("x", "y"), Remote) // two halls that nobody can place are not one region
	is.Equal(m.Distance("x", "x"), SameHall)
	none := New(nil)
	is.Equal(none.Distance("a1", "b1"), SameRegion) // where no region is stated, all is one
}

// Cells of one region, stated or not, are numbered from 0 as if there were none.
func TestOneRegionsCellsAreNumberedFromNothing(t *testing.T) {
	is := is.New(t)
	is.Equal(New(nil).CellNumber("", 2), 2)
	is.Equal(New(map[string]string{"h": "r"}).CellNumber("r", 2), 2)
}

func TestEachCellHasOneHome(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		halls := rapid.MapOf(rapid.StringN(1, 2, -1), rapid.StringN(0, 2, -1)).Draw(t, "halls")
		m := New(halls)
		region := rapid.SampledFrom(m.Names()).Draw(t, "region")
		local := rapid.IntRange(0, MaxCellsPerRegion-1).Draw(t, "local")
		gotRegion, gotLocal := m.RegionOfCell(m.CellNumber(region, local))
		if gotRegion != region || gotLocal != local {
			t.Fatalf("cell %d of %q is taken for %d of %q", local, region, gotLocal, gotRegion)
		}
	})
}

func TestRouteAndCustomerBothBind(t *testing.T) {
	is := is.New(t)
	is.True(Intersect(nil, nil).Allows("a"))
	is.True(Intersect(nil, nil).Allows(""))
	is.True(Intersect([]string{"a", "b"}, nil).Allows("b"))
	is.True(!Intersect([]string{"a"}).Allows("")) // a hall that nobody can place is not allowed
	both := Intersect([]string{"a", "b"}, []string{"b", "c"})
	is.Equal(both.Names(), []string{"b"})
	none := Intersect([]string{"a"}, []string{"c"})
	is.True(none.IsRestricted())
	is.True(!none.Allows("a") && !none.Allows("c") && !none.Allows(""))
}

func TestARegionThatRefusedIsNotAskedForLessUrgentOnes(t *testing.T) {
	is := is.New(t)
	l := NewAvailability()
	l.RecordRefusal(time.Second, "b", 2)
	is.True(l.LikelyRefuses(time.Second+shortFor/2, "b", 2))
	is.True(l.LikelyRefuses(time.Second+shortFor/2, "b", 3))
	is.True(!l.LikelyRefuses(time.Second+shortFor/2, "b", 1)) // a more urgent one may be taken
	is.True(!l.LikelyRefuses(time.Second+shortFor/2, "c", 2))
	is.True(!l.LikelyRefuses(time.Second+shortFor, "b", 2)) // later it may have room again
}

func TestTripsAreMeasured(t *testing.T) {
	is := is.New(t)
	trips := NewRoundTrips()
	is.Equal(trips.Estimate("b"), unknownTrip)
	for range 30 {
		trips.Observe("b", 20*time.Millisecond)
	}
	is.Equal(trips.Estimate("b"), 20*time.Millisecond)
	trips.Observe("b", time.Minute) // a lost answer
	is.Equal(trips.Estimate("b"), 20*time.Millisecond)
}

func TestTheOwnRegionIsAskedFirstAndTheOthersShareWhatItLends(t *testing.T) {
	is := is.New(t)
	all := []Candidate{{Region: "a", HasReplicas: true, HasInstances: true}, {Region: "b", HasReplicas: true, HasInstances: true}, {Region: "c", HasReplicas: true, HasInstances: true}}
	second := make(map[string]int)
	for i := range 300 {
		turn := OrderCandidates("b", all, strconv.Itoa(i))
		is.Equal(len(turn), 3)
		is.Equal(turn[0], "b")
		second[turn[1]]++
	}
	is.True(second["a"] > 100 && second["c"] > 100)
}

func TestARegionWithoutReplicasIsNotAsked(t *testing.T) {
	is := is.New(t)
	all := []Candidate{{Region: "a"}, {Region: "b", HasReplicas: true}, {Region: "c", HasReplicas: true, HasInstances: true}}
	is.Equal(OrderCandidates("a", all, "x"), []string{"c", "b"}) // where nobody is comes last: its owner is elsewhere
	all = []Candidate{{Region: "a", HasInstances: true}, {Region: "b"}}
	is.Equal(OrderCandidates("a", all, "x"), []string{"a", "b"}) // an owner says why
	is.Equal(len(OrderCandidates("a", nil, "x")), 0)
}

// In a cut each request that brought a new prompt waited for an answer that
// could not come.
func TestARegionThatDoesNotAnswerIsLeftAloneForAWhile(t *testing.T) {
	is := is.New(t)
	l := NewAvailability()
	is.True(!l.IsUnresponsive(time.Second, "b"))
	l.RecordNoAnswer(time.Second, "b")
	is.True(l.IsUnresponsive(time.Second+silentFor/2, "b"))
	is.True(l.LikelyRefuses(time.Second+silentFor/2, "b", 0)) // however urgent
	is.True(!l.IsUnresponsive(time.Second+silentFor/2, "c"))
	is.True(!l.IsUnresponsive(time.Second+silentFor, "b"))
	l.RecordNoAnswer(time.Second, "b")
	l.RecordAnswer("b")
	is.True(!l.IsUnresponsive(time.Second+1, "b"))
}
