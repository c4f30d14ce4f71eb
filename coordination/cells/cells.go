// Package cells assigns the replicas of a service to cells. Each cell has its
// own owner, the instance that schedules the work for its replicas. All
// instances with the same list compute the same assignment.
//
// An owner's state about a replica (cached prompts, stored results, requests in
// flight) is lost when the replica moves to another cell, so adding or removing
// a replica should move few others. Each replica therefore ranks the cells by
// rendezvous hashing and takes the first with free capacity, in an order that
// depends on the replica IDs alone (consistent hashing with bounded loads;
// Mirrokni, Thorup and Zadimoghaddam, 2018). Cell sizes differ by at most one.
package cells

import (
	"cmp"
	"slices"
	"strconv"

	"quinceroad/coordination/rendezvous"
)

// Assign returns the cell of each replica of one service, from 0 to cells-1.
func Assign(replicas []string, cells int) map[string]int {
	out := make(map[string]int, len(replicas))
	if cells <= 1 {
		for _, id := range replicas {
			out[id] = 0
		}
		return out
	}
	names := make([]string, cells)
	for c := range cells {
		names[c] = strconv.Itoa(c)
	}
	order := slices.Clone(replicas)
	slices.SortFunc(order, func(a, b string) int {
		return cmp.Or(cmp.Compare(rendezvous.Weight(orderKey, a), rendezvous.Weight(orderKey, b)), cmp.Compare(a, b))
	})
	free := capacities(len(replicas), cells)
	for _, id := range order {
		best, highest := -1, uint64(0)
		for c := range cells {
			if free[c] == 0 {
				continue
			}
			if w := rendezvous.Weight(id, names[c]); best < 0 || w > highest {
				best, highest = c, w
			}
		}
		free[best]--
		out[id] = best
	}
	return out
}

// orderKey makes the order in which replicas choose independent of their
// ranking of the cells.
const orderKey = "order"

// capacities returns the number of replicas per cell, which differ by at most
// one.
func capacities(replicas, cells int) []int {
	out := make([]int, cells)
	for c := range cells {
		out[c] = replicas / cells
		if c < replicas%cells {
			out[c]++
		}
	}
	return out
}
