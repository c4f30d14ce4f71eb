package regions

import (
	"cmp"
	"slices"

	"quinceroad/coordination/rendezvous"
)

// Candidate is a region that may serve a request.
type Candidate struct {
	Region       string
	HasReplicas  bool // it has replicas of every service that the request needs
	HasInstances bool // at least one instance there is alive
}

// OrderCandidates returns the regions whose owners are asked to serve a
// request, in order: the local region, then regions with instances of their
// own, whose owner runs close to its replicas, then the others. The order
// within these groups differs per request, so that all share the spillover. If no
// region has replicas, all are returned, as an owner answers with the reason
// and when to retry.
func OrderCandidates(local string, all []Candidate, request string) []string {
	eligible := slices.DeleteFunc(slices.Clone(all), func(c Candidate) bool { return !c.HasReplicas })
	if len(eligible) == 0 {
		eligible = slices.Clone(all)
	}
	rank := func(c Candidate) int {
		switch {
		case c.Region == local:
			return 0
		case c.HasInstances:
			return 1
		}
		return 2
	}
	slices.SortFunc(eligible, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)),
			cmp.Compare(rendezvous.Weight(request, b.Region), rendezvous.Weight(request, a.Region)))
	})
	var out []string
	for _, c := range eligible {
		out = append(out, c.Region)
	}
	return out
}
