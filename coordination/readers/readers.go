// Package readers decides which instances follow the platform's store. A few
// of each hall do, and tell the others, so that the calls to the store follow
// the number of halls and of changes, not of instances.
//
// The choice is soft: each instance makes it from the view it has. Too many
// readers for a moment cost some calls; an instance that hears of no reader in
// its hall reads by itself.
package readers

import (
	"cmp"
	"slices"

	"quinceroad/coordination/gossip"
	"quinceroad/coordination/rendezvous"
)

const (
	leastReaders = 3 // in a fleet, however few halls it has
	key          = "store"
)

// Chosen reports whether the instance of that name is to follow the store,
// among those alive.
func IsReader(name string, alive []gossip.Instance) bool {
	halls := make(map[string][]gossip.Instance)
	hall := ""
	for _, i := range alive {
		halls[i.Hall] = append(halls[i.Hall], i)
		if i.Name == name {
			hall = i.Hall
		}
	}
	candidates := ranked(halls[hall])
	perHall := (leastReaders + len(halls) - 1) / max(len(halls), 1)
	for _, i := range candidates[:min(perHall, len(candidates))] {
		if i.Name == name {
			return true
		}
	}
	return false
}

// ranked returns the instances of a hall, the one that should read first in
// front: one that reaches the store and stays, that reads already, that runs for
// a while, with most of a processor. Who reads already goes before who runs for
// longer: each hears of its own heartbeats first, and when all have started at
// once everyone would take its turn as soon as it has run for long enough.
func ranked(hall []gossip.Instance) []gossip.Instance {
	out := slices.Clone(hall)
	share := gossip.ByShare(out)
	rank := func(i gossip.Instance) int { // each reason goes before all that follow it
		r := share(i)
		for n, reason := range []bool{!i.Settled(), !i.Reads, i.Leaving, i.Blind} {
			if reason {
				r += gossip.ShareRanks << n
			}
		}
		return r
	}
	slices.SortFunc(out, func(a, b gossip.Instance) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(rendezvous.Weight(key, b.Name), rendezvous.Weight(key, a.Name)))
	})
	return out
}
