// Package addresses answers which instances a caller should use: the caller's
// hall first, never leaving or dead ones, spread by a weighted draw.
package addresses

import (
	"sort"

	"quinceroad/coordination/membership"
	"quinceroad/coordination/rendezvous"
)

// Address is one choice for a caller.
type Address struct {
	Instance string
	Address  string // IP:port
	Hall     string
}

// Choose returns up to most addresses for a caller in hall; seed spreads
// callers over the instances. An empty hall prefers none.
func Choose(members []membership.Member, hall, seed string, most int) []Address {
	fit := make([]membership.Member, 0, len(members))
	for _, m := range members {
		if m.State != membership.Dead && !m.Leaving && m.EntryHTTPAddress != "" {
			fit = append(fit, m)
		}
	}
	sort.Slice(fit, func(i, j int) bool {
		near, far := fit[i].Hall == hall, fit[j].Hall == hall
		if near != far {
			return near
		}
		return rendezvous.Weight(seed, fit[i].Name) > rendezvous.Weight(seed, fit[j].Name)
	})
	out := make([]Address, 0, min(most, len(fit)))
	for _, m := range fit[:min(most, len(fit))] {
		out = append(out, Address{Instance: m.Name, Address: m.EntryHTTPAddress, Hall: m.Hall})
	}
	return out
}
