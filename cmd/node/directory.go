package node

import (
	"cmp"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"time"

	"quinceroad/coordination/gossip"
	"quinceroad/coordination/regions"
	"quinceroad/coordination/rendezvous"
	"quinceroad/platform"
)

// addressesFor is the life of an answer for addresses: some clients keep it
// three times as long, and a stopping instance must outlast that.
const addressesFor = 1500 * time.Millisecond

func (n *Node) serveDirectory(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != platform.PathResolve {
		http.NotFound(w, r)
		return
	}
	question := platform.ParseAddressQuery(r.URL.Query())
	c := client{hall: question.Hall, region: cmp.Or(question.Region, n.places.RegionOf(question.Hall)), name: callerOf(r)}
	if config := n.world.Load().config; config != nil {
		c.homes = regions.Intersect(config.AllowedRegions(question.Host))
	}
	answer := platform.AddressResponse{
		Addresses:  addresses(n.alive(), c),
		TTLSeconds: min(addressesFor, n.settings.MaxAddressTTL).Seconds(),
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer)
}

// callerOf names who asks, always the same way.
func callerOf(r *http.Request) string {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}

// client is who asks for addresses.
type client struct {
	hall   string
	region string // "" where nobody can place it
	name   string
	homes  regions.Allowed // that may serve some of what it asks for
}

// addresses returns where a client may go: instances that are heard of and do
// not leave, those of its hall first. An answer holds so many at most; which
// ones of a larger fleet differs from caller to caller, so that all get their
// part, and stays the same for one, which gives up its connections to others.
//
// Clients choose among the answer's addresses by chance, so those of other
// regions are left out while the client's own has enough instances: each request
// that goes to another crosses twice, and its body with it.
func addresses(alive []gossip.Instance, c client) []string {
	var lists [3][]gossip.Instance // of the hall, of the region, of others
	taking, places := 0, make(map[string]bool)
	for _, i := range alive {
		if i.Leaving {
			continue
		}
		taking++
		places[i.Region] = true
		switch {
		case i.Hall == c.hall:
			lists[0] = append(lists[0], i)
		case i.Region == c.region:
			lists[1] = append(lists[1], i)
		default:
			lists[2] = append(lists[2], i)
		}
	}
	lists[2] = homesFirst(lists[2], c.homes)
	if home := len(lists[0]) + len(lists[1]); c.region != "" && home >= leastHome && home*len(places)*shortShare >= taking {
		lists[2] = nil
	}
	var out []string
	for _, list := range lists {
		if len(out)+len(list) > platform.MaxAddresses {
			slices.SortFunc(list, func(a, b gossip.Instance) int {
				return cmp.Compare(rendezvous.Weight(c.name, b.Name), rendezvous.Weight(c.name, a.Name))
			})
			list = list[:platform.MaxAddresses-len(out)]
		}
		for _, i := range list {
			out = append(out, i.ClientAddress)
		}
	}
	return out
}

// homesFirst returns the instances of regions that may serve, or all where none may.
func homesFirst(far []gossip.Instance, homes regions.Allowed) []gossip.Instance {
	var out []gossip.Instance
	for _, i := range far {
		if homes.Allows(i.Region) {
			out = append(out, i)
		}
	}
	if len(out) == 0 {
		return far
	}
	return out
}

// A region's clients are told its own instances alone while there are at least
// so many, and at least this part of what regions have on average: with fewer,
// these would take on thrice their usual load. Both chosen.
const (
	leastHome  = 3
	shortShare = 3
)
