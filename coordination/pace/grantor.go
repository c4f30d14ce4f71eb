package pace

import (
	"quinceroad/coordination/gossip"
	"quinceroad/coordination/rendezvous"
)

// Location is the hall and region of a replica.
type Location struct {
	Hall   string
	Region string
}

// Distances of an instance from a replica; the nearest instance is preferred as grantor.
const (
	sameHall = iota
	sameRegion
	otherRegion
	leaving // an instance that is leaving, wherever it is
)

func (p Location) distance(i *gossip.Instance) int {
	switch {
	case i.Leaving:
		return leaving
	case i.Region != p.Region:
		return otherRegion
	case i.Hall != p.Hall:
		return sameRegion
	}
	return sameHall
}

// SelectGrantor returns the instance that issues a replica's send grants. It prefers
// instances close to the replica, where most of its requests come from, and picks an
// instance that is leaving only when all are. Instances with the same view select the
// same grantor. It returns false when no instance is alive.
func SelectGrantor(alive []gossip.Instance, incarnation string, replica Location) (gossip.Instance, bool) {
	best, bestDistance, bestWeight := -1, 0, uint64(0)
	for i := range alive {
		x := &alive[i]
		distance := replica.distance(x)
		if best >= 0 && distance > bestDistance {
			continue
		}
		weight := rendezvous.Weight(incarnation, x.Name)
		if best < 0 || distance < bestDistance || weight > bestWeight || weight == bestWeight && x.Name < alive[best].Name {
			best, bestDistance, bestWeight = i, distance, weight
		}
	}
	if best < 0 {
		return gossip.Instance{}, false
	}
	return alive[best], true
}
