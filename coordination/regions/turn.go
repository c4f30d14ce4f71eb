package regions

import (
	"cmp"
	"slices"

	"quinceroad/coordination/rendezvous"
)

// Candidate is a region that may serve a request.
type Candidate struct {
	Region       string
	HasReplicas  bool // it has replicas of all that the request needs
	HasInstances bool // an instance there is heard of
}

// Turn returns the regions whose owners are asked for a request, the first one
// first: the own region; then those where an owner is near its replicas, in an
// order that differs from request to request, so that all of them lend; then
// those whose owner is elsewhere. Where none serves, an owner says so, and when
// to come back.
func OrderCandidates(home string, all []Candidate, request string) []string {
	able := slices.DeleteFunc(slices.Clone(all), func(c Candidate) bool { return !c.HasReplicas })
	if len(able) == 0 {
		able = slices.Clone(all)
	}
	rank := func(c Candidate) int {
		switch {
		case c.Region == home:
			return 0
		case c.HasInstances:
			return 1
		}
		return 2
	}
	slices.SortFunc(able, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)),
			cmp.Compare(rendezvous.Weight(request, b.Region), rendezvous.Weight(request, a.Region)))
	})
	var out []string
	for _, c := range able {
		out = append(out, c.Region)
	}
	return out
}
