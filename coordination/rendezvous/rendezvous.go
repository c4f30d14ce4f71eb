// Package rendezvous picks owners of soft state by highest random weight
// (Thaler and Ravishankar, 1998), so that every process with the same view of
// the members names the same owner and one member's change moves few keys.
package rendezvous

import "github.com/cespare/xxhash/v2"

// Owner returns the member with the highest weight for key, or "" when there
// is none. Cost grows with the number of members; callers keep the result
// until their view changes.
func Owner(key string, members []string) string {
	best, most := "", uint64(0)
	for _, m := range members {
		w := Weight(key, m)
		if best == "" || w > most || (w == most && m < best) {
			best, most = m, w
		}
	}
	return best
}

// Weight is the score of member for key.
func Weight(key, member string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(member)
	return d.Sum64()
}
