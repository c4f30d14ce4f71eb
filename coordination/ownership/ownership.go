// Package ownership decides which instance owns a cell of pools and engines.
//
// A cell's replicas are all in one region, and so is its owner while the region
// has an instance that may own it. Where it has none, another region's does,
// until one is back: what the replicas there can do is not lost.
//
// Ownership is soft: each instance ranks the others by the view it has. Two
// owners for a moment cost calls that meet at a replica, and break no promise.
package ownership

import (
	"cmp"
	"slices"
	"strconv"

	"quinceroad/coordination/gossip"
	"quinceroad/coordination/rendezvous"
)

// Rank returns the instances that may own a cell of a region, the first one
// first: those of the region; of them who owns it already, so that an instance
// that comes back does not take it over; then those with most of a processor.
func Rank(alive []gossip.Instance, cell int, region string) []gossip.Instance {
	key := "stages/" + strconv.Itoa(cell)
	var able []gossip.Instance
	for _, i := range alive {
		if !i.Leaving && (i.Settled() || owns(i, cell)) {
			able = append(able, i)
		}
	}
	if len(able) == 0 {
		able = slices.Clone(alive)
	}
	share := gossip.CPURank(able)
	rank := func(i gossip.Instance) int {
		r := 0
		if i.Region != region {
			r = foreign
		}
		if owns(i, cell) {
			return r
		}
		return r + 1 + share(i)
	}
	slices.SortFunc(able, func(a, b gossip.Instance) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(rendezvous.Weight(key, b.Name), rendezvous.Weight(key, a.Name)))
	})
	return able
}

// foreign puts the instances of other regions behind all of the cell's own.
const foreign = 2 + gossip.CPURankCount

// Clear reports whether the view tells who owns a cell, or may: right after
// all have started each knows some of the others only, and all would choose
// differently, until the view is still.
func CanDecide(alive []gossip.Instance, cell int, region string, still bool) bool {
	return still || slices.ContainsFunc(alive, func(i gossip.Instance) bool {
		return !i.Leaving && i.Region == region && (i.Settled() || owns(i, cell))
	})
}

func owns(i gossip.Instance, cell int) bool { return slices.Contains(i.OwnedCells, uint32(cell)) }
