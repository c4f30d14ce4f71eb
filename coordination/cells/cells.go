// Package cells parts the replicas of a service among cells, each of which has
// its own owner. All instances with the same list part it the same way.
//
// What an owner knows of a replica (what it keeps, what lies there, what is at
// work) is lost when the replica changes its cell, so one that comes or goes
// should move few others. Each replica so ranks the cells by rendezvous and
// takes the first that has room, in an order that depends on the replica alone
// (consistent hashing with bounded loads, Mirrokni, Thorup and Zadimoghaddam,
// 2018): cells are as even as can be.
package cells

import (
	"cmp"
	"slices"
	"strconv"

	"quinceroad/coordination/rendezvous"
)

// Part returns the cell of each replica of one service, from 0 to cells-1.
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
	room := rooms(len(replicas), cells)
	for _, id := range order {
		best, most := -1, uint64(0)
		for c := range cells {
			if room[c] == 0 {
				continue
			}
			if w := rendezvous.Weight(id, names[c]); best < 0 || w > most {
				best, most = c, w
			}
		}
		room[best]--
		out[id] = best
	}
	return out
}

// orderKey sets the order in which replicas choose apart from their choice.
const orderKey = "order"

// rooms returns how many replicas each cell takes: as many as the others, or one more.
func rooms(replicas, cells int) []int {
	out := make([]int, cells)
	for c := range cells {
		out[c] = replicas / cells
		if c < replicas%cells {
			out[c]++
		}
	}
	return out
}
