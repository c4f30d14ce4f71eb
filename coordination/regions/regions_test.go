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
	is.Equal(m.Between("a1", "a1"), SameHall)
	is.Equal(m.Between("a1", "a2"), SameRegion)
	is.Equal(m.Between("a1", "b1"), Far)
	is.Equal(m.Between("a1", "x"), Far)
	is.Equal(m.Between("x", "y"), Far) // two halls that nobody can place are not one region
	is.Equal(m.Between("x", "x"), SameHall)
	none := New(nil)
	is.Equal(none.Between("a1", "b1"), SameRegion) // where no region is stated, all is one
}

// Cells of one region, stated or not, are numbered from 0 as if there were none.
func TestOneRegionsCellsAreNumberedFromNothing(t *testing.T) {
	is := is.New(t)
	is.Equal(New(nil).Cell("", 2), 2)
	is.Equal(New(map[string]string{"h": "r"}).Cell("r", 2), 2)
}

func TestEachCellHasOneHome(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		halls := rapid.MapOf(rapid.StringN(1, 2, -1), rapid.StringN(0, 2, -1)).Draw(t, "halls")
		m := New(halls)
		region := rapid.SampledFrom(m.Names()).Draw(t, "region")
		local := rapid.IntRange(0, Stride-1).Draw(t, "local")
		gotRegion, gotLocal := m.Home(m.Cell(region, local))
		if gotRegion != region || gotLocal != local {
			t.Fatalf("cell %d of %q is taken for %d of %q", local, region, gotLocal, gotRegion)
		}
	})
}

func TestRouteAndCustomerBothBind(t *testing.T) {
	is := is.New(t)
	is.True(Bind(nil, nil).Has("a"))
	is.True(Bind(nil, nil).Has(""))
	is.True(Bind([]string{"a", "b"}, nil).Has("b"))
	is.True(!Bind([]string{"a"}).Has("")) // a hall that nobody can place is not allowed
	both := Bind([]string{"a", "b"}, []string{"b", "c"})
	is.Equal(both.Names(), []string{"b"})
	none := Bind([]string{"a"}, []string{"c"})
	is.True(none.Bound())
	is.True(!none.Has("a") && !none.Has("c") && !none.Has(""))
}

func TestARegionThatRefusedIsNotAskedForLessUrgentOnes(t *testing.T) {
	is := is.New(t)
	l := NewLending()
	l.Refused(time.Second, "b", 2)
	is.True(l.Short(time.Second+shortFor/2, "b", 2))
	is.True(l.Short(time.Second+shortFor/2, "b", 3))
	is.True(!l.Short(time.Second+shortFor/2, "b", 1)) // a more urgent one may be taken
	is.True(!l.Short(time.Second+shortFor/2, "c", 2))
	is.True(!l.Short(time.Second+shortFor, "b", 2)) // later it may have room again
}

func TestTripsAreMeasured(t *testing.T) {
	is := is.New(t)
	trips := NewTrips()
	is.Equal(trips.Round("b"), unknownTrip)
	for range 30 {
		trips.Note("b", 20*time.Millisecond)
	}
	is.Equal(trips.Round("b"), 20*time.Millisecond)
	trips.Note("b", time.Minute) // a lost answer
	is.Equal(trips.Round("b"), 20*time.Millisecond)
}

func TestTheOwnRegionIsAskedFirstAndTheOthersShareWhatItLends(t *testing.T) {
	is := is.New(t)
	all := []Candidate{{Region: "a", Serves: true, Manned: true}, {Region: "b", Serves: true, Manned: true}, {Region: "c", Serves: true, Manned: true}}
	second := make(map[string]int)
	for i := range 300 {
		turn := Turn("b", all, strconv.Itoa(i))
		is.Equal(len(turn), 3)
		is.Equal(turn[0], "b")
		second[turn[1]]++
	}
	is.True(second["a"] > 100 && second["c"] > 100)
}

func TestARegionWithoutReplicasIsNotAsked(t *testing.T) {
	is := is.New(t)
	all := []Candidate{{Region: "a"}, {Region: "b", Serves: true}, {Region: "c", Serves: true, Manned: true}}
	is.Equal(Turn("a", all, "x"), []string{"c", "b"}) // where nobody is comes last: its owner is elsewhere
	all = []Candidate{{Region: "a", Manned: true}, {Region: "b"}}
	is.Equal(Turn("a", all, "x"), []string{"a", "b"}) // an owner says why
	is.Equal(len(Turn("a", nil, "x")), 0)
}

// In a cut each request that brought a new prompt waited for an answer that
// could not come.
func TestARegionThatDoesNotAnswerIsLeftAloneForAWhile(t *testing.T) {
	is := is.New(t)
	l := NewLending()
	is.True(!l.Silent(time.Second, "b"))
	l.Unheard(time.Second, "b")
	is.True(l.Silent(time.Second+silentFor/2, "b"))
	is.True(l.Short(time.Second+silentFor/2, "b", 0)) // however urgent
	is.True(!l.Silent(time.Second+silentFor/2, "c"))
	is.True(!l.Silent(time.Second+silentFor, "b"))
	l.Unheard(time.Second, "b")
	l.Heard("b")
	is.True(!l.Silent(time.Second+1, "b"))
}
