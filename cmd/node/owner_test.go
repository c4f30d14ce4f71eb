package node

import (
	"testing"

	"github.com/matryer/is"

	"quinceroad/state/catalog"
)

func TestCellsPartLargePoolsAndEachReplicaOnce(t *testing.T) {
	is := is.New(t)
	w := &world{
		config: &catalog.Configuration{Services: map[string]*catalog.Service{"read": {Pool: &catalog.Pool{}}}},
		sizes:  map[string]int{},
	}
	for i := range 100 {
		r := catalog.Replica{ID: string(rune('A' + i)), Service: "read"}
		w.all = append(w.all, r)
		w.sizes["read"]++ // also of those whose hall is being emptied: the cells stay as they are
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
