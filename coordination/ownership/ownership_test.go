package ownership

import (
	"slices"
	"strconv"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"quinceroad/coordination/gossip"
)

func names(list []gossip.Instance) []string {
	var out []string
	for _, i := range list {
		out = append(out, i.Name)
	}
	return out
}

func TestOwnerKeepsItsCell(t *testing.T) {
	is := is.New(t)
	alive := []gossip.Instance{
		{Name: "a", HeartbeatCount: 100, CPUShare: 400},
		{Name: "b", HeartbeatCount: 100, CPUShare: 400, OwnedCells: []uint32{0}},
		{Name: "c", HeartbeatCount: 100, CPUShare: 800},
	}
	is.Equal(names(Rank(alive, 0, ""))[0], "b")
	alive[1].Leaving = true
	is.Equal(names(Rank(alive, 0, "")), []string{"c", "a"}) // the instance with the largest CPU share is next
}

func TestJustStartedInstanceOwnsNoCell(t *testing.T) {
	is := is.New(t)
	alive := []gossip.Instance{{Name: "a", HeartbeatCount: 2}, {Name: "b", HeartbeatCount: 100}}
	is.Equal(names(Rank(alive, 0, "")), []string{"b"})
	alive[1].HeartbeatCount = 3
	is.Equal(len(Rank(alive, 0, "")), 2) // unless all instances have just started
}

// After a start of the whole fleet, the first owner of a cell keeps it when other
// instances settle before it.
func TestOwnerKeepsItsCellWhenOthersSettleFirst(t *testing.T) {
	is := is.New(t)
	alive := []gossip.Instance{{Name: "a", HeartbeatCount: 7, CPUShare: 400, OwnedCells: []uint32{0}}, {Name: "b", HeartbeatCount: 8, CPUShare: 800}}
	is.Equal(names(Rank(alive, 0, ""))[0], "a")
	is.Equal(names(Rank(alive, 1, "")), []string{"b"}) // a cell that it does not own
}

func TestCanDecideOnceAnOwnerIsKnownOrTheViewHasSettled(t *testing.T) {
	is := is.New(t)
	alive := []gossip.Instance{{Name: "a", HeartbeatCount: 2}, {Name: "b", HeartbeatCount: 3}}
	is.True(!CanDecide(alive, 0, "", false))
	is.True(CanDecide(alive, 0, "", true)) // the view has settled
	alive[0].OwnedCells = []uint32{0}
	is.True(CanDecide(alive, 0, "", false))
	is.True(!CanDecide(alive, 1, "", false))
	alive[1].HeartbeatCount = 100
	is.True(CanDecide(alive, 1, "", false))
	alive[1].Leaving = true
	is.True(!CanDecide(alive, 1, "", false))
}

// A cell is owned in its own region. When that region has no instance, an instance of
// another region owns the cell, and returns it later.
func TestCellFailsOverToAnotherRegionAndBack(t *testing.T) {
	is := is.New(t)
	alive := []gossip.Instance{
		{Name: "a", Region: "n", HeartbeatCount: 100, CPUShare: 400},
		{Name: "b", Region: "s", HeartbeatCount: 100, CPUShare: 800, OwnedCells: []uint32{0}}, // since region n was lost
	}
	is.Equal(names(Rank(alive, 0, "n")), []string{"a", "b"})
	is.Equal(names(Rank(alive, 0, "w")), []string{"b", "a"}) // region w has no instance
	alive[0].HeartbeatCount = 1
	is.Equal(names(Rank(alive, 0, "n")), []string{"b"}) // a has just restarted and is not settled
	is.True(!CanDecide(alive, 1, "n", false))
	alive[0].Leaving, alive[0].HeartbeatCount = true, 100
	is.Equal(names(Rank(alive, 0, "n")), []string{"b"})
}

// Whatever instances are lost or partitioned, an instance that sees an eligible owner in
// the cell's region selects no other region, and instances with equal views agree.
func TestOwnersOfPartitionedAndLostRegions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var alive []gossip.Instance
		for i := range rapid.IntRange(1, 12).Draw(t, "instances") {
			visible := rapid.Bool().Draw(t, "seen")
			x := gossip.Instance{
				Name:           strconv.Itoa(i),
				Region:         rapid.SampledFrom([]string{"n", "s", "w", ""}).Draw(t, "region"),
				HeartbeatCount: rapid.SampledFrom([]uint64{1, 100}).Draw(t, "count"),
				Leaving:        rapid.Bool().Draw(t, "leaving"),
				CPUShare:       rapid.SampledFrom([]uint32{200, 800}).Draw(t, "share"),
			}
			if rapid.Bool().Draw(t, "owns") {
				x.OwnedCells = []uint32{7}
			}
			if visible || i == 0 {
				alive = append(alive, x)
			}
		}
		ranked := Rank(alive, 7, "n")
		if len(ranked) == 0 {
			t.Fatal("the cell has no owner")
		}
		regionHasOwner := slices.ContainsFunc(alive, func(i gossip.Instance) bool {
			return i.Region == "n" && !i.Leaving && (i.Settled() || ownsCell(&i, 7))
		})
		if regionHasOwner && ranked[0].Region != "n" {
			t.Fatalf("%s of region %q is selected", ranked[0].Name, ranked[0].Region)
		}
		other := slices.Clone(alive)
		slices.Reverse(other)
		if got := Rank(other, 7, "n")[0].Name; got != ranked[0].Name {
			t.Fatalf("%s and %s are selected with equal views", got, ranked[0].Name)
		}
	})
}
