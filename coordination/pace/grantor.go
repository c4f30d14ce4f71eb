package pace

import (
	"cmp"
	"slices"

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
	first := SelectGrantors(alive, incarnation, replica, 1)
	if len(first) == 0 {
		return gossip.Instance{}, false
	}
	return first[0], true
}

// SelectGrantors returns the first n instances in the order in which SelectGrantor prefers
// them.
func SelectGrantors(alive []gossip.Instance, incarnation string, replica Location, n int) []gossip.Instance {
	best := make([]candidate, 0, n+1)
	for i := range alive {
		c := candidate{instance: &alive[i], distance: replica.distance(&alive[i])}
		if len(best) == n && c.distance > best[n-1].distance {
			continue
		}
		c.weight = rendezvous.Weight(incarnation, c.instance.Name)
		at, _ := slices.BinarySearchFunc(best, c, candidate.compare)
		best = slices.Insert(best, at, c)
		best = best[:min(len(best), n)]
	}
	out := make([]gossip.Instance, len(best))
	for i, c := range best {
		out[i] = *c.instance
	}
	return out
}

// candidate is an instance with what determines its place in the order.
type candidate struct {
	instance *gossip.Instance
	distance int
	weight   uint64
}

func (c candidate) compare(other candidate) int {
	return cmp.Or(cmp.Compare(c.distance, other.distance), cmp.Compare(other.weight, c.weight), cmp.Compare(c.instance.Name, other.instance.Name))
}
