package node

import (
	"strconv"
	"testing"

	"github.com/matryer/is"

	"quinceroad/coordination/regions"
	"quinceroad/state/catalog"
)

func TestCellsPartitionEachReplicaOnce(t *testing.T) {
	is := is.New(t)
	w := &snapshot{
		config:  &catalog.Configuration{Services: map[string]*catalog.Service{"read": {Pool: &catalog.Pool{}}}},
		regions: regions.New(nil),
	}
	for i := range 100 {
		r := catalog.Replica{ID: string(rune('A' + i)), Service: "read", HallDrained: i%2 == 0} // drained halls must not change the cells
		w.replicas = append(w.replicas, r)
	}
	is.Equal(w.cellCount(""), 4)
	seen := make(map[string]int)
	for cell := range w.cellCount("") {
		for _, r := range w.cellReplicas(cell) {
			seen[r.ID]++
		}
	}
	is.Equal(len(seen), 100)
	for _, n := range seen {
		is.Equal(n, 1)
	}
}

// Replicas are divided into cells within their region, so that no owner sends work to
// another region. Replicas of an unknown region must not be lost.
func TestCellsStayWithinRegions(t *testing.T) {
	is := is.New(t)
	w := &snapshot{
		config:  &catalog.Configuration{Services: map[string]*catalog.Service{"read": {Pool: &catalog.Pool{}}, "llm": {Engine: &catalog.Engine{}}}},
		regions: regions.New(map[string]string{"a": "n", "b": "s"}),
	}
	for i := range 200 {
		r := catalog.Replica{ID: strconv.Itoa(i), Service: "read", Hall: []string{"a", "a", "b", "x"}[i%4]}
		if i%8 == 0 {
			r.Service = "llm"
		}
		r.Region = w.regions.RegionOf(r.Hall)
		w.replicas = append(w.replicas, r)
	}
	is.Equal(w.cellCount("n"), 3) // 75 replicas of the pool
	is.Equal(w.cellCount("s"), 2)
	seen := make(map[string]bool)
	for _, region := range w.regions.Names() {
		for local := range w.cellCount(region) {
			share := w.cellReplicas(w.regions.CellNumber(region, local))
			is.True(len(share) <= maxPoolReplicasPerCell+9) // of the pool, and a third of the 25 engines
			for _, r := range share {
				is.Equal(r.Region, region)
				is.True(!seen[r.ID])
				seen[r.ID] = true
			}
		}
	}
	is.Equal(len(seen), len(w.replicas))
}
