package node

import (
	"maps"

	"quinceroad/coordination/cells"
	"quinceroad/platform"
	"quinceroad/protocol/clientrequest"
	"quinceroad/state/catalog"
)

// maxPoolReplicasPerCell bounds the replicas of one pool in a cell, and thus the load of
// the cell's owner.
const maxPoolReplicasPerCell = 30

// cellPartition assigns the replicas of pools and engines to cells. A cell lies in
// one region, so that an owner never moves jobs or results across regions. The number
// of cells grows with the fleet, so that the load of one owner does not.
type cellPartition struct {
	cellCounts map[string]int            // number of cells by region
	replicas   map[int][]catalog.Replica // by cell number: its replicas
	available  map[string]map[string]int // by region and service: number of replicas that accept work
	cellOf     map[string]int            // by replica ID: number of its cell
}

// partitionCells assigns the replicas of pools and engines to cells.
func (snap *snapshot) partitionCells() {
	snap.partition = cellPartition{cellCounts: make(map[string]int), replicas: make(map[int][]catalog.Replica), available: make(map[string]map[string]int), cellOf: make(map[string]int)}
	if snap.config == nil {
		return
	}
	for _, region := range snap.regionMap.Names() {
		snap.partition.available[region] = make(map[string]int)
	}
	for service, list := range snap.eligibleByService {
		for _, r := range list {
			snap.partition.available[r.Region][service]++
		}
	}
	// By region and service: the number of pool replicas that are not draining. It
	// determines the number of cells.
	pooled := make(map[string]map[string]int)
	ids := make(map[string]map[string][]string) // by region and service: IDs of all replicas of pools and engines
	for _, region := range snap.regionMap.Names() {
		pooled[region], ids[region] = make(map[string]int), make(map[string][]string)
	}
	for _, r := range snap.replicas {
		s := snap.config.Services[r.Service]
		if s == nil || s.Pool == nil && s.Engine == nil {
			continue
		}
		ids[r.Region][r.Service] = append(ids[r.Region][r.Service], r.ID)
		if s.Pool != nil && !r.Draining {
			pooled[r.Region][r.Service]++
		}
	}
	localCell := make(map[string]int)
	for region, services := range ids {
		largestPool := 0
		for _, n := range pooled[region] {
			largestPool = max(largestPool, n)
		}
		snap.partition.cellCounts[region] = max((largestPool+maxPoolReplicasPerCell-1)/maxPoolReplicasPerCell, 1)
		for _, list := range services {
			maps.Copy(localCell, cells.Assign(list, snap.partition.cellCounts[region]))
		}
	}
	for _, r := range snap.replicas {
		if local, ok := localCell[r.ID]; ok {
			cell := snap.regionMap.CellNumber(r.Region, local)
			snap.partition.replicas[cell] = append(snap.partition.replicas[cell], r)
			snap.partition.cellOf[r.ID] = cell
		}
	}
}

// cellCount returns the number of cells of a region.
func (snap *snapshot) cellCount(region string) int {
	snap.partitionOnce.Do(snap.partitionCells)
	return max(snap.partition.cellCounts[region], 1)
}

// hasReplicasFor reports whether a region has replicas of every service that a
// request of a route needs.
func (snap *snapshot) hasReplicasFor(region string, route *catalog.Route, service string) bool {
	snap.partitionOnce.Do(snap.partitionCells)
	available := snap.partition.available[region]
	for _, st := range route.Stages {
		if available[st.Service] == 0 {
			return false
		}
	}
	return available[service] > 0
}

// hasPooledReplicas reports whether a region has replicas of pools or engines.
func (snap *snapshot) hasPooledReplicas(region string) bool {
	for local := range snap.cellCount(region) {
		if len(snap.partition.replicas[snap.regionMap.CellNumber(region, local)]) > 0 {
			return true
		}
	}
	return false
}

// cellReplicas returns the replicas of pools and engines that belong to a cell.
func (snap *snapshot) cellReplicas(cell int) []catalog.Replica {
	region, local := snap.regionMap.RegionOfCell(cell)
	number := snap.regionMap.CellNumber(region, local%snap.cellCount(region)) // a peer's snapshot may have more cells
	return snap.partition.replicas[number]
}

// cellOfReplica returns the cell that a replica of a pool or engine belongs to.
func (snap *snapshot) cellOfReplica(incarnation string) (cell int, ok bool) {
	snap.partitionOnce.Do(snap.partitionCells)
	cell, ok = snap.partition.cellOf[incarnation]
	return cell, ok
}

// cellOfRequest returns the cell of a region that a request belongs to. Requests
// that share a prompt belong to the same cell.
func (snap *snapshot) cellOfRequest(r *clientrequest.Request, region string) int {
	key := r.ID
	if shared := r.SharedPrefix(); len(shared) > 0 {
		key = shared[len(shared)-1].ID
	}
	return snap.regionMap.CellNumber(region, int(platform.HashString(key)%uint64(snap.cellCount(region))))
}
