package node

import (
	"testing"

	"github.com/matryer/is"

	"quinceroad/coordination/gossip"
	"quinceroad/state/catalog"
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
	is.Equal(names(owners(alive, 0))[0], "b")
	alive[1].Leaving = true
	is.Equal(names(owners(alive, 0)), []string{"c", "a"}) // the one with most of a processor is next
}

func TestAnInstanceThatJustStartedOwnsNothingYet(t *testing.T) {
	is := is.New(t)
	alive := []gossip.Instance{{Name: "a", Count: 2}, {Name: "b", Count: 100}}
	is.Equal(names(owners(alive, 0)), []string{"b"})
	alive[1].Count = 3
	is.Equal(len(owners(alive, 0)), 2) // unless all have
}

func TestCellsPartLargePoolsAndEachReplicaOnce(t *testing.T) {
	is := is.New(t)
	w := &world{
		config:   &catalog.Configuration{Services: map[string]*catalog.Service{"read": {Pool: &catalog.Pool{}}}},
		services: map[string][]catalog.Replica{},
	}
	for i := range 100 {
		r := catalog.Replica{ID: string(rune('A' + i)), Service: "read"}
		w.all = append(w.all, r)
		w.services["read"] = append(w.services["read"], r)
	}
	is.Equal(w.cells(), 4)
	seen := make(map[string]int)
	for cell := range w.cells() {
		for _, r := range w.share(cell) {
			seen[r.ID]++
		}
	}
	is.Equal(len(seen), 100)
	for _, n := range seen {
		is.Equal(n, 1)
	}
}
