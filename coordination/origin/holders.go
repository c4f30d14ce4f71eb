package origin

import (
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"quinceroad/coordination/gossip"
)

const (
	// Copies is the number of other instances, in two data halls, that hold a stream's record
	// beside the instance that serves the stream.
	Copies = 2
	// Asked is the number of instances that are asked for a record. It exceeds Copies, as the
	// instances may differ on who is alive, and those that held it may be gone.
	Asked = 6
	// pointsPerInstance evens out how many records each instance holds.
	pointsPerInstance = 4
)

// Holders returns the instances of a region that should hold the record of a stream, in the
// order in which they are to be asked: the first Copies of them are in two data halls if
// there are two. The instances are shared; the caller must not change them. eligible leaves out instances; it must depend on the instance and the role
// only, as its result is kept while the live instances stay the same.
//
// The order is that of a consistent hash ring, so that instances that come and go move few
// records, and the cost of a call does not depend on their number.
func Holders(live *gossip.Live, region string, k Key, role string, eligible func(*gossip.Instance) bool) []*gossip.Instance {
	ring := live.Derive(ringKey{region, role}, func() any { return newRing(live.Instances, region, eligible) }).(ring)
	return ring.first(k)
}

type ringKey struct{ region, role string }

// ring holds the points of the instances, sorted by their position.
type ring []point

type point struct {
	position uint64
	instance *gossip.Instance
}

func newRing(instances []gossip.Instance, region string, eligible func(*gossip.Instance) bool) ring {
	var r ring
	for i := range instances {
		x := &instances[i]
		if x.Region != region || !eligible(x) {
			continue
		}
		for n := range pointsPerInstance {
			r = append(r, point{xxhash.Sum64String(strconv.Itoa(n) + "/" + x.Name), x})
		}
	}
	slices.SortFunc(r, func(a, b point) int {
		switch {
		case a.position < b.position:
			return -1
		case a.position > b.position:
			return 1
		}
		return 0
	})
	return r
}

// maxVisited bounds the points that are visited for one stream.
const maxVisited = 16 * Asked

// first returns up to Asked instances from the key's position on. The second one is the
// first in another hall.
func (r ring) first(k Key) []*gossip.Instance {
	start, _ := slices.BinarySearchFunc(r, uint64(k), func(p point, position uint64) int {
		if p.position < position {
			return -1
		}
		return 1
	})
	var out []*gossip.Instance
	hasOtherHall := false
	for i := 0; i < min(len(r), maxVisited) && (len(out) < Asked || !hasOtherHall); i++ {
		x := r[(start+i)%len(r)].instance
		if slices.Contains(out, x) {
			continue
		}
		isFirstOfOther := len(out) > 0 && !hasOtherHall && x.Hall != out[0].Hall
		hasOtherHall = hasOtherHall || isFirstOfOther
		switch {
		case isFirstOfOther:
			out = slices.Insert(out, 1, x)
		case len(out) < Asked:
			out = append(out, x)
		}
	}
	return out[:min(len(out), Asked)]
}
