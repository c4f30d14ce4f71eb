// Package ownership decides which instance owns a cell of pools and engines, that is,
// schedules the work for the cell's replicas (see package cells).
//
// All replicas of a cell are in one region, and so is its owner while that region has
// an eligible instance. Otherwise an instance of another region owns the cell until
// one is back, so that the capacity of its replicas is not lost.
//
// Ownership is soft state: each instance ranks the others by its own view. Two
// concurrent owners may send batches to the same replica, but violate no guarantee.
package ownership

import (
	"cmp"
	"slices"
	"strconv"

	"quinceroad/coordination/gossip"
	"quinceroad/coordination/rendezvous"
)

// Rank returns the instances that may own a cell of a region, the preferred one first.
// Instances of the region come first; among them the current owner, so that a
// returning instance does not displace it; then those with the largest CPU share.
func Rank(alive []gossip.Instance, cell int, region string) []gossip.Instance {
	key := "stages/" + strconv.Itoa(cell)
	var eligible []gossip.Instance
	for _, i := range alive {
		if !i.Leaving && (i.Settled() || ownsCell(i, cell)) {
			eligible = append(eligible, i)
		}
	}
	if len(eligible) == 0 {
		eligible = slices.Clone(alive)
	}
	cpuRank := gossip.CPURank(eligible)
	rank := func(i gossip.Instance) int {
		r := 0
		if i.Region != region {
			r = remoteRegionPenalty
		}
		if ownsCell(i, cell) {
			return r
		}
		return r + 1 + cpuRank(i)
	}
	slices.SortFunc(eligible, func(a, b gossip.Instance) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(rendezvous.Weight(key, b.Name), rendezvous.Weight(key, a.Name)))
	})
	return eligible
}

// remoteRegionPenalty ranks instances of other regions below all those of the cell's
// region.
const remoteRegionPenalty = 2 + gossip.CPURankCount

// CanDecide reports whether the view is sufficient to decide who owns a cell. Right
// after a start of the whole fleet, each instance has discovered only some of the
// others, and instances would choose different owners until their views settle.
func CanDecide(alive []gossip.Instance, cell int, region string, settled bool) bool {
	return settled || slices.ContainsFunc(alive, func(i gossip.Instance) bool {
		return !i.Leaving && i.Region == region && (i.Settled() || ownsCell(i, cell))
	})
}

func ownsCell(i gossip.Instance, cell int) bool { return slices.Contains(i.OwnedCells, uint32(cell)) }
