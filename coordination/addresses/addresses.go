// Package addresses selects the instances that a caller should use: those of
// the caller's hall first, spread by rendezvous hashing. Dead and leaving
// instances are left out.
package addresses

import (
	"sort"

	"quinceroad/coordination/membership"
	"quinceroad/coordination/rendezvous"
)

// Address is one instance that a caller may use.
type Address struct {
	Instance string
	Address  string // IP:port
	Hall     string
}

// Choose returns up to maxCount addresses for a caller in a hall; seed spreads
// callers over the instances. An empty hall means no preference.
func Choose(members []membership.Member, hall, seed string, maxCount int) []Address {
	eligible := make([]membership.Member, 0, len(members))
	for _, m := range members {
		if m.State != membership.Dead && !m.Leaving && m.EntryHTTPAddress != "" {
			eligible = append(eligible, m)
		}
	}
	sort.Slice(eligible, func(i, j int) bool {
		iLocal, jLocal := eligible[i].Hall == hall, eligible[j].Hall == hall
		if iLocal != jLocal {
			return iLocal
		}
		return rendezvous.Weight(seed, eligible[i].Name) > rendezvous.Weight(seed, eligible[j].Name)
	})
	out := make([]Address, 0, min(maxCount, len(eligible)))
	for _, m := range eligible[:min(maxCount, len(eligible))] {
		out = append(out, Address{Instance: m.Name, Address: m.EntryHTTPAddress, Hall: m.Hall})
	}
	return out
}
