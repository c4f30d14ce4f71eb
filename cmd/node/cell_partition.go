package node

import (
	"time"

	"quinceroad/coordination/listing"
	"quinceroad/coordination/ownership"
	"quinceroad/platform"
	"quinceroad/protocol/clientrequest"
	"quinceroad/state/catalog"
)

// maxPoolReplicasPerCell bounds the replicas of one pool in a cell, and thus the load of
// the cell's owner. A cell lies in one region, so that an owner never moves jobs or results
// across regions. The number of cells grows with the fleet, so that the load of one owner
// does not.
const maxPoolReplicasPerCell = 30

// serviceKinds returns how the services of a configuration are divided among cells.
func serviceKinds(c *catalog.Configuration) map[string]listing.Kind {
	kinds := make(map[string]listing.Kind)
	if c == nil {
		return kinds
	}
	for name, s := range c.Services {
		switch {
		case s.Pool != nil:
			kinds[name] = listing.Pools
		case s.Engine != nil:
			kinds[name] = listing.Engines
		}
	}
	return kinds
}

// The replicas are assigned to cells only at instances that own some, and not while the
// list is still growing after a start: with nearly every change their number would change.
const (
	growthBatch  = 50              // changes at once from which the list counts as growing
	growthWindow = 2 * time.Second // time without such a change after which it has grown
)

// dividedSnapshot returns the current snapshot, in which the replicas are assigned to cells
// if they are known.
func (n *Node) dividedSnapshot() *snapshot {
	snap := n.snapshot.Load()
	if snap.divided || snap.config == nil || !snap.replicasLoaded {
		return snap
	}
	n.divideReplicas()
	return n.snapshot.Load()
}

// divideReplicas assigns the replicas to cells from now on.
func (n *Node) divideReplicas() {
	n.watchedMu.Lock()
	n.replicas.divided = true
	afterUnlock := n.replaceSnapshot()
	n.watchedMu.Unlock()
	afterUnlock()
}

// prepareOwnership assigns the replicas to cells once the list has grown if this instance
// will own one of them, so that the cell's first request doesn't have to wait for it. It
// reports whether it has decided.
func (n *Node) prepareOwnership() bool {
	snap := n.snapshot.Load()
	if snap.divided {
		return true
	}
	n.watchedMu.Lock()
	hasGrown := snap.config != nil && snap.replicasLoaded && n.now()-n.replicas.grewAt >= growthWindow
	n.watchedMu.Unlock()
	if hasGrown && n.willOwnCell(snap) {
		n.divideReplicas()
	}
	return hasGrown
}

// willOwnCell reports whether this instance is to own a cell of its region.
func (n *Node) willOwnCell(snap *snapshot) bool {
	live := n.live()
	for local := range snap.cellCount(n.home) {
		owner, ok := ownership.Owner(live, snap.regionMap.CellNumber(n.home, local), n.home)
		if ok && owner.Name == n.settings.Name {
			return true
		}
	}
	return false
}

func newIndex(kinds map[string]listing.Kind, divides bool) *listing.Index {
	return listing.New(func(service string) listing.Kind { return kinds[service] }, maxPoolReplicasPerCell, divides)
}

// cellCount returns the number of cells of a region.
func (snap *snapshot) cellCount(region string) int { return snap.list.CellCount(region) }

// hasReplicasFor reports whether a region has replicas of every service that a
// request of a route needs.
func (snap *snapshot) hasReplicasFor(region string, route *catalog.Route, service string) bool {
	for _, st := range route.Stages {
		if snap.list.EligibleIn(region, st.Service) == 0 {
			return false
		}
	}
	return snap.list.EligibleIn(region, service) > 0
}

// cell returns the replicas of pools and engines that belong to a cell.
func (snap *snapshot) cell(number int) listing.Cell {
	region, local := snap.regionMap.RegionOfCell(number)
	return snap.list.Cell(region, local%snap.cellCount(region)) // a peer's snapshot may have more cells
}

// cellOfReplica returns the cell that a replica of a pool or engine belongs to.
func (snap *snapshot) cellOfReplica(incarnation string) (cell int, ok bool) {
	region, local, ok := snap.list.CellOf(incarnation)
	if !ok {
		return 0, false
	}
	return snap.regionMap.CellNumber(region, local), true
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
