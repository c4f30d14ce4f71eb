// Package readers decides which instances read the platform's store. A few
// readers per hall do so and forward the changes to the other instances, so
// that the load on the store grows with the number of halls and changes, not of
// instances.
//
// The choice is soft: each instance makes it from its own view. Too many
// readers for a moment only cost some calls, and an instance that knows of no
// reader in its hall reads the store itself.
package readers

import (
	"cmp"
	"slices"

	"quinceroad/coordination/gossip"
	"quinceroad/coordination/rendezvous"
)

const (
	minReaders    = 3 // in the whole fleet, even if it has fewer halls
	rendezvousKey = "store"
)

// IsReader reports whether the instance of that name should read the store,
// given the live instances.
func IsReader(name string, alive []gossip.Instance) bool {
	halls := make(map[string][]*gossip.Instance)
	hall := ""
	for n := range alive {
		i := &alive[n]
		halls[i.Hall] = append(halls[i.Hall], i)
		if i.Name == name {
			hall = i.Hall
		}
	}
	candidates := rankCandidates(halls[hall])
	perHall := (minReaders + len(halls) - 1) / max(len(halls), 1)
	for _, i := range candidates[:min(perHall, len(candidates))] {
		if i.Name == name {
			return true
		}
	}
	return false
}

// rankCandidates returns the instances of a hall, best reader first. It prefers,
// in this order, instances that can reach the store, that are not leaving,
// that are readers already, that have been running for a while, and that have
// the largest share of a processor. Being a reader counts more than uptime
// because each instance sees its own heartbeats first: when all start at once,
// each would otherwise take over as soon as it has been running long enough.
func rankCandidates(hall []*gossip.Instance) []*gossip.Instance {
	out := slices.Clone(hall)
	share := gossip.CPURank(out)
	rank := func(i *gossip.Instance) int { // each reason outweighs all before it
		r := share(i)
		for n, reason := range []bool{!i.Settled(), !i.IsReader, i.Leaving, i.StoreUnreachable} {
			if reason {
				r += gossip.CPURankCount << n
			}
		}
		return r
	}
	slices.SortFunc(out, func(a, b *gossip.Instance) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(rendezvous.Weight(rendezvousKey, b.Name), rendezvous.Weight(rendezvousKey, a.Name)))
	})
	return out
}
