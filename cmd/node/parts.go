package node

import (
	"maps"

	"quinceroad/coordination/cells"
	"quinceroad/platform"
	"quinceroad/protocol/exchange"
	"quinceroad/state/catalog"
)

// cellReplicas is how many replicas of one pool one owner has at most.
const cellReplicas = 30

// parts is how the replicas of pools and engines are cut into cells: within
// each region, so that no job or result crosses to another by its owner's
// choice, and into so many that no owner's load grows with the fleet.
type parts struct {
	counts map[string]int            // cells by region
	cells  map[int][]catalog.Replica // by cell
	takes  map[string]map[string]int // by region and service: replicas that get work
	cellOf map[string]int            // by replica of a pool or engine
}

// part cuts the replicas of pools and engines into cells.
func (w *world) part() {
	w.parts = parts{counts: make(map[string]int), cells: make(map[int][]catalog.Replica), takes: make(map[string]map[string]int), cellOf: make(map[string]int)}
	if w.config == nil {
		return
	}
	for _, region := range w.places.Names() {
		w.parts.takes[region] = make(map[string]int)
	}
	for service, list := range w.services {
		for _, r := range list {
			w.parts.takes[r.Region][service]++
		}
	}
	pooled := make(map[string]map[string]int)   // by region and service: those that a cell's size is counted by
	ids := make(map[string]map[string][]string) // the same: replicas of pools and engines
	for _, region := range w.places.Names() {
		pooled[region], ids[region] = make(map[string]int), make(map[string][]string)
	}
	for _, r := range w.all {
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
		most := 0
		for _, n := range pooled[region] {
			most = max(most, n)
		}
		w.parts.counts[region] = max((most+cellReplicas-1)/cellReplicas, 1)
		for _, list := range services {
			maps.Copy(cellOf, cells.Assign(list, w.parts.counts[region]))
		}
	}
	for _, r := range w.all {
		if local, ok := cellOf[r.ID]; ok {
			cell := w.places.CellNumber(r.Region, local)
			w.parts.cells[cell] = append(w.parts.cells[cell], r)
			w.parts.cellOf[r.ID] = cell
		}
	}
}

// cells returns into how many cells a region's pools are cut.
func (w *world) cells(region string) int {
	w.parting.Do(w.part)
	return max(w.parts.counts[region], 1)
}

// serves reports whether a region has replicas of all that a request of a
// route needs.
func (w *world) serves(region string, route *catalog.Route, service string) bool {
	w.parting.Do(w.part)
	takes := w.parts.takes[region]
	for _, st := range route.Stages {
		if takes[st.Service] == 0 {
			return false
		}
	}
	return takes[service] > 0
}

// holds reports whether a region has replicas of pools or engines.
func (w *world) holds(region string) bool {
	for local := range w.cells(region) {
		if len(w.parts.cells[w.places.CellNumber(region, local)]) > 0 {
			return true
		}
	}
	return false
}

// share returns the replicas of pools and engines that belong to a cell.
func (w *world) share(cell int) []catalog.Replica {
	region, local := w.places.RegionOfCell(cell)
	known := w.places.CellNumber(region, local%w.cells(region)) // who asks may know of more cells
	return w.parts.cells[known]
}

// cellHolding returns the cell to which a replica of a pool or engine belongs.
func (w *world) cellHolding(life string) (cell int, ok bool) {
	w.parting.Do(w.part)
	cell, ok = w.parts.cellOf[life]
	return cell, ok
}

// cellOf returns the cell of a region that a request belongs to: those that
// share a prompt meet.
func (w *world) cellOf(r *exchange.Request, region string) int {
	key := r.ID
	if shared := r.Shared(); len(shared) > 0 {
		key = shared[len(shared)-1].ID
	}
	return w.places.CellNumber(region, int(platform.HashString(key)%uint64(w.cells(region))))
}
