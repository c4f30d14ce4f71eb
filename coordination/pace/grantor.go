package pace

import (
	"quinceroad/coordination/gossip"
	"quinceroad/coordination/rendezvous"
)

// Place is where a replica is.
type Location struct {
	Hall   string
	Region string
}

// distances of an instance from a replica whose turns it may give, the best first.
const (
	sameHall = iota
	sameRegion
	elsewhere
	isLeaving
)

func (p Location) distance(i *gossip.Instance) int {
	switch {
	case i.Leaving:
		return isLeaving
	case i.Region != p.Region:
		return elsewhere
	case i.Hall != p.Hall:
		return sameRegion
	}
	return sameHall
}

// Keeper returns which of some instances gives a replica's turns: one near the
// replica before others, as most of its requests come from there; one that leaves
// only where all do. All with the same view agree; false where there is none.
func SelectGrantor(alive []gossip.Instance, life string, at Location) (gossip.Instance, bool) {
	best, least, most := -1, 0, uint64(0)
	for i := range alive {
		x := &alive[i]
		far := at.distance(x)
		if best >= 0 && far > least {
			continue
		}
		weight := rendezvous.Weight(life, x.Name)
		if best < 0 || far < least || weight > most || weight == most && x.Name < alive[best].Name {
			best, least, most = i, far, weight
		}
	}
	if best < 0 {
		return gossip.Instance{}, false
	}
	return alive[best], true
}
