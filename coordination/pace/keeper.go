package pace

import (
	"cmp"
	"slices"

	"quinceroad/coordination/gossip"
	"quinceroad/coordination/rendezvous"
)

// Place is where a replica is.
type Place struct {
	Hall   string
	Region string
}

// Keepers returns the instances that may give a replica's turns, the one that does
// first: those near the replica before others, as most of its requests come from
// there; none that leaves, unless all do. All with the same view agree.
func Keepers(alive []gossip.Instance, life string, at Place) []gossip.Instance {
	out := slices.Clone(alive)
	far := func(i gossip.Instance) int {
		switch {
		case i.Leaving:
			return 3
		case i.Hall == at.Hall && i.Region == at.Region:
			return 0
		case i.Region == at.Region:
			return 1
		}
		return 2
	}
	weights := make(map[string]uint64, len(out))
	for _, i := range out {
		weights[i.Name] = rendezvous.Weight(life, i.Name)
	}
	slices.SortFunc(out, func(x, y gossip.Instance) int {
		return cmp.Or(cmp.Compare(far(x), far(y)), cmp.Compare(weights[y.Name], weights[x.Name]), cmp.Compare(x.Name, y.Name))
	})
	return out
}
