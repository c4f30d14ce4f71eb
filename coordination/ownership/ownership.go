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

// maxCandidates bounds the candidates that Candidates returns. A request asks the next
// one only if the one before it can't be reached.
const maxCandidates = 8

// Candidates returns the first instances in the order of Rank. They are determined once
// for each cell while the live instances stay the same.
func Candidates(live *gossip.Live, cell int, region string) []gossip.Instance {
	key := candidatesKey{cell, region}
	return live.Derive(key, func() any { return firstRanked(live.Instances, cell, region, maxCandidates) }).([]gossip.Instance)
}

type candidatesKey struct {
	cell   int
	region string
}

// Owner returns the first instance in the order of Rank, or false if none is alive.
func Owner(live *gossip.Live, cell int, region string) (gossip.Instance, bool) {
	candidates := Candidates(live, cell, region)
	if len(candidates) == 0 {
		return gossip.Instance{}, false
	}
	return candidates[0], true
}

// Rank returns the instances that may own a cell of a region, the preferred one first.
// Instances of the region come first; among them the current owner, so that a
// returning instance does not displace it; then those with the largest CPU share.
func Rank(alive []gossip.Instance, cell int, region string) []gossip.Instance {
	return firstRanked(alive, cell, region, len(alive))
}

// ranked is an instance with what determines its place in the order.
type ranked struct {
	instance *gossip.Instance
	rank     int
	weight   uint64
}

func (a *ranked) compare(b *ranked) int {
	return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(b.weight, a.weight))
}

// firstRanked returns the first n instances in the order of Rank.
func firstRanked(alive []gossip.Instance, cell int, region string, n int) []gossip.Instance {
	key := "stages/" + strconv.Itoa(cell)
	eligible := eligibleOwners(alive, cell)
	cpuRank := gossip.CPURank(eligible)
	order := make([]ranked, 0, len(eligible))
	for _, i := range eligible {
		order = append(order, ranked{instance: i, rank: rankOf(i, cell, region, cpuRank), weight: rendezvous.Weight(key, i.Name)})
	}
	slices.SortFunc(order, func(a, b ranked) int { return a.compare(&b) })
	out := make([]gossip.Instance, 0, min(n, len(order)))
	for _, r := range order[:min(n, len(order))] {
		out = append(out, *r.instance)
	}
	return out
}

// eligibleOwners returns the instances that may own a cell, or all if there are none.
func eligibleOwners(alive []gossip.Instance, cell int) []*gossip.Instance {
	var eligible, all []*gossip.Instance
	for i := range alive {
		x := &alive[i]
		all = append(all, x)
		if !x.Leaving && (x.Settled() || ownsCell(x, cell)) {
			eligible = append(eligible, x)
		}
	}
	if len(eligible) == 0 {
		return all
	}
	return eligible
}

func rankOf(i *gossip.Instance, cell int, region string, cpuRank func(*gossip.Instance) int) int {
	rank := 0
	if i.Region != region {
		rank = remoteRegionPenalty
	}
	if ownsCell(i, cell) {
		return rank
	}
	return rank + 1 + cpuRank(i)
}

// remoteRegionPenalty ranks instances of other regions below all those of the cell's
// region.
const remoteRegionPenalty = 2 + gossip.CPURankCount

// CanDecide reports whether the view is sufficient to decide who owns a cell. Right
// after a start of the whole fleet, each instance has discovered only some of the
// others, and instances would choose different owners until their views settle.
func CanDecide(alive []gossip.Instance, cell int, region string, settled bool) bool {
	return settled || slices.ContainsFunc(alive, func(i gossip.Instance) bool {
		return !i.Leaving && i.Region == region && (i.Settled() || ownsCell(&i, cell))
	})
}

func ownsCell(i *gossip.Instance, cell int) bool { return slices.Contains(i.OwnedCells, uint32(cell)) }
