// Package rendezvous chooses owners of soft state by highest random weight
// (Thaler and Ravishankar, 1998): every process with the same view of the
// members chooses the same owner, and a change of one member moves few keys.
package rendezvous

import "github.com/cespare/xxhash/v2"

// Owner returns the member with the highest weight for key, or "" if there are
// no members. It takes time linear in the number of members, so callers cache
// the result until their view changes.
func Owner(key string, members []string) string {
	best, highest := "", uint64(0)
	for _, m := range members {
		w := Weight(key, m)
		if best == "" || w > highest || (w == highest && m < best) {
			best, highest = m, w
		}
	}
	return best
}

// Weight returns the score of a member for a key.
func Weight(key, member string) uint64 {
	var buffer [128]byte // most keys fit, so that nothing is allocated
	b := append(buffer[:0], key...)
	b = append(b, 0)
	return xxhash.Sum64(append(b, member...))
}
