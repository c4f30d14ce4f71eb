package node

import (
	"maps"

	"quinceroad/coordination/cells"
	"quinceroad/platform"
	"quinceroad/protocol/clientrequest"
	"quinceroad/state/catalog"
)

// maxPoolReplicasPerCell bounds the replicas of one pool in a cell, and thus at one
// owner.
const maxPoolReplicasPerCell = 30

// cellPartition assigns the replicas of pools and engines to cells. A cell lies in
// one region, so that an owner never moves jobs or results across regions, and the
// number of cells grows with the fleet, so that no owner's load does.
type cellPartition struct {
	cellCounts map[string]int            // number of cells by region
	replicas   map[int][]catalog.Replica // by cell number
	available  map[string]map[string]int // by region and service: number of replicas that get work
	cellOf     map[string]int            // by replica ID
}

// partitionCells assigns the replicas of pools and engines to cells.
func (w *snapshot) partitionCells() {
	w.parts = cellPartition{cellCounts: make(map[string]int), replicas: make(map[int][]catalog.Replica), available: make(map[string]map[string]int), cellOf: make(map[string]int)}
	if w.config == nil {
		return
	}
	for _, region := range w.regions.Names() {
		w.parts.available[region] = make(map[string]int)
	}
	for service, list := range w.eligibleByService {
		for _, r := range list {
			w.parts.available[r.Region][service]++
		}
	}
	pooled := make(map[string]map[string]int)   // by region and service: pool replicas that are not draining, which decide the number of cells
	ids := make(map[string]map[string][]string) // by region and service: IDs of all replicas of pools and engines
	for _, region := range w.regions.Names() {
		pooled[region], ids[region] = make(map[string]int), make(map[string][]string)
	}
	for _, r := range w.replicas {
		s := w.config.Services[r.Service]
		if s == nil || s.Pool == nil && s.Engine == nil {
			continue
		}
		ids[r.Region][r.Service] = append(ids[r.Region][r.Service], r.ID)
		if s.Pool != nil && !r.Draining {
			pooled[r.Region][r.Service]++
		}
	}
	cellOf := make(map[string]int)
	for region, services := range ids {
		largestPool := 0
		for _, n := range pooled[region] {
			largestPool = max(largestPool, n)
		}
		w.parts.cellCounts[region] = max((largestPool+maxPoolReplicasPerCell-1)/maxPoolReplicasPerCell, 1)
		for _, list := range services {
			maps.Copy(cellOf, cells.Assign(list, w.parts.cellCounts[region]))
		}
	}
	for _, r := range w.replicas {
		if local, ok := cellOf[r.ID]; ok {
			cell := w.regions.CellNumber(r.Region, local)
			w.parts.replicas[cell] = append(w.parts.replicas[cell], r)
			w.parts.cellOf[r.ID] = cell
		}
	}
}

// cellCount returns the number of cells of a region.
func (w *snapshot) cellCount(region string) int {
	w.partsOnce.Do(w.partitionCells)
	return max(w.parts.cellCounts[region], 1)
}

// hasReplicasFor reports whether a region has replicas of every service that a
// request of a route needs.
func (w *snapshot) hasReplicasFor(region string, route *catalog.Route, service string) bool {
	w.partsOnce.Do(w.partitionCells)
	available := w.parts.available[region]
	for _, st := range route.Stages {
		if available[st.Service] == 0 {
			return false
		}
	}
	return available[service] > 0
}

// hasPooledReplicas reports whether a region has replicas of pools or engines.
func (w *snapshot) hasPooledReplicas(region string) bool {
	for local := range w.cellCount(region) {
		if len(w.parts.replicas[w.regions.CellNumber(region, local)]) > 0 {
			return true
		}
	}
	return false
}

// cellReplicas returns the replicas of pools and engines that belong to a cell.
func (w *snapshot) cellReplicas(cell int) []catalog.Replica {
	region, local := w.regions.RegionOfCell(cell)
	number := w.regions.CellNumber(region, local%w.cellCount(region)) // a peer's view may have more cells
	return w.parts.replicas[number]
}

// cellOfReplica returns the cell that a replica of a pool or engine belongs to.
func (w *snapshot) cellOfReplica(incarnation string) (cell int, ok bool) {
	w.partsOnce.Do(w.partitionCells)
	cell, ok = w.parts.cellOf[incarnation]
	return cell, ok
}

// cellOfRequest returns the cell of a region that a request belongs to. Requests
// that share a prompt belong to the same cell.
func (w *snapshot) cellOfRequest(r *clientrequest.Request, region string) int {
	key := r.ID
	if shared := r.SharedPrefix(); len(shared) > 0 {
		key = shared[len(shared)-1].ID
	}
	return w.regions.CellNumber(region, int(platform.HashString(key)%uint64(w.cellCount(region))))
}
