package node

import (
	"strconv"
	"testing"

	"github.com/matryer/is"

	"quinceroad/coordination/listing"
	"quinceroad/coordination/regions"
	"quinceroad/state/catalog"
)

func TestCellsPartitionEachReplicaOnce(t *testing.T) {
	is := is.New(t)
	var replicas []catalog.Replica
	for i := range 100 {
		r := catalog.Replica{ID: string(rune('A' + i)), Service: "read", HallDrained: i%2 == 0} // drained halls must not change the cells
		replicas = append(replicas, r)
	}
	snap := snapshotOf(&catalog.Configuration{Services: map[string]*catalog.Service{"read": {Pool: &catalog.Pool{}}}}, regions.New(nil), replicas)
	is.Equal(snap.cellCount(""), 4)
	seen := make(map[string]int)
	for cell := range snap.cellCount("") {
		for _, r := range snap.cell(cell).Replicas() {
			seen[r.ID]++
		}
	}
	is.Equal(len(seen), 100)
	for _, n := range seen {
		is.Equal(n, 1)
	}
}

// Replicas are divided into cells within their region, so that no owner sends work to
// another region. Replicas of an unknown region belong to cells as well.
func TestCellsStayWithinRegions(t *testing.T) {
	is := is.New(t)
	regionMap := regions.New(map[string]string{"a": "n", "b": "s"})
	var replicas []catalog.Replica
	for i := range 200 {
		r := catalog.Replica{ID: strconv.Itoa(i), Service: "read", Hall: []string{"a", "a", "b", "x"}[i%4]}
		if i%8 == 0 {
			r.Service = "llm"
		}
		r.Region = regionMap.RegionOf(r.Hall)
		replicas = append(replicas, r)
	}
	snap := snapshotOf(&catalog.Configuration{Services: map[string]*catalog.Service{"read": {Pool: &catalog.Pool{}}, "llm": {Engine: &catalog.Engine{}}}}, regionMap, replicas)
	is.Equal(snap.cellCount("n"), 3) // 75 replicas of the pool
	is.Equal(snap.cellCount("s"), 2)
	seen := make(map[string]bool)
	for _, region := range snap.regionMap.Names() {
		for local := range snap.cellCount(region) {
			share := snap.cell(snap.regionMap.CellNumber(region, local)).Replicas()
			is.True(len(share) <= maxPoolReplicasPerCell+9) // of the pool, and a third of the 25 engines
			for _, r := range share {
				is.Equal(r.Region, region)
				is.True(!seen[r.ID])
				seen[r.ID] = true
			}
		}
	}
	is.Equal(len(seen), len(replicas))
}

// snapshotOf returns a snapshot of the given replicas.
func snapshotOf(config *catalog.Configuration, regionMap *regions.Map, replicas []catalog.Replica) *snapshot {
	return &snapshot{config: config, replicasLoaded: true, divided: true, regionMap: regionMap, list: indexOf(config, replicas).List()}
}

func indexOf(config *catalog.Configuration, replicas []catalog.Replica) *listing.Index {
	index := newIndex(serviceKinds(config), true)
	var all []listing.Change
	for i := range replicas {
		all = append(all, listing.Change{Incarnation: replicas[i].ID, Replica: &replicas[i]})
	}
	index.Apply(all)
	return index
}
