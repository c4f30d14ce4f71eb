package ownership

import (
	"testing"

	"github.com/matryer/is"

	"quinceroad/coordination/gossip"
)

func names(list []gossip.Instance) []string {
	var out []string
	for _, i := range list {
		out = append(out, i.Name)
	}
	return out
}

func TestWhoOwnsACellStaysItsOwner(t *testing.T) {
	is := is.New(t)
	alive := []gossip.Instance{
		{Name: "a", Count: 100, Share: 400},
		{Name: "b", Count: 100, Share: 400, Owns: []uint32{0}},
		{Name: "c", Count: 100, Share: 800},
	}
	is.Equal(names(Rank(alive, 0))[0], "b")
	alive[1].Leaving = true
	is.Equal(names(Rank(alive, 0)), []string{"c", "a"}) // the one with most of a processor is next
}

func TestAnInstanceThatJustStartedOwnsNothingYet(t *testing.T) {
	is := is.New(t)
	alive := []gossip.Instance{{Name: "a", Count: 2}, {Name: "b", Count: 100}}
	is.Equal(names(Rank(alive, 0)), []string{"b"})
	alive[1].Count = 3
	is.Equal(len(Rank(alive, 0)), 2) // unless all have
}

// After a start of all, who took a cell first keeps it when others settle.
func TestAnEarlyOwnerIsNotReplacedByWhoSettlesFirst(t *testing.T) {
	is := is.New(t)
	alive := []gossip.Instance{{Name: "a", Count: 7, Share: 400, Owns: []uint32{0}}, {Name: "b", Count: 8, Share: 800}}
	is.Equal(names(Rank(alive, 0))[0], "a")
	is.Equal(names(Rank(alive, 1)), []string{"b"}) // another cell is not its own
}

func TestAViewIsClearOnceSomebodyOwnsOrIsSettled(t *testing.T) {
	is := is.New(t)
	alive := []gossip.Instance{{Name: "a", Count: 2}, {Name: "b", Count: 3}}
	is.True(!Clear(alive, 0, false))
	is.True(Clear(alive, 0, true)) // nobody else is to be expected
	alive[0].Owns = []uint32{0}
	is.True(Clear(alive, 0, false))
	is.True(!Clear(alive, 1, false))
	alive[1].Count = 100
	is.True(Clear(alive, 1, false))
	alive[1].Leaving = true
	is.True(!Clear(alive, 1, false))
}
