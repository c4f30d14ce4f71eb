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

// maxAddressTTL is the lifetime of a resolved list of addresses. Some clients use a list
// for three times as long, and a stopping instance must go on serving for that time.
const maxAddressTTL = 1500 * time.Millisecond

func (n *Node) serveDirectory(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != platform.PathResolve {
		http.NotFound(w, r)
		return
	}
	query := platform.ParseAddressQuery(r.URL.Query())
	c := addressClient{hall: query.Hall, region: cmp.Or(query.Region, n.regionMap.RegionOf(query.Hall)), name: callerHost(r)}
	if config := n.snapshot.Load().config; config != nil {
		c.allowedRegions = regions.Intersect(config.AllowedRegions(query.Host))
	}
	answer := platform.AddressResponse{
		Addresses:  selectAddresses(n.liveInstances(), c),
		TTLSeconds: min(maxAddressTTL, n.settings.MaxAddressTTL).Seconds(),
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer)
}

// callerHost returns the host of the caller, which identifies it across requests.
func callerHost(r *http.Request) string {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}

// addressClient is a client that resolves addresses.
type addressClient struct {
	hall           string
	region         string // "" if its hall has no known region
	name           string
	allowedRegions regions.Allowed // regions that may serve some of its requests
}

// selectAddresses returns the instances that a client may use: live instances that are
// not leaving, those of its hall first. An answer has a maximum length. In a larger fleet
// the selection differs between callers, so that all instances get their share, and stays
// the same for one caller, because callers close their connections to instances that are
// not in the answer.
//
// Clients choose randomly among the addresses of an answer. Instances of other regions
// are therefore left out while the client's own region has enough: a request that goes
// to another region crosses between them twice, with its body.
func selectAddresses(alive []gossip.Instance, c addressClient) []string {
	var lists [3][]gossip.Instance // instances of the hall, of the rest of the region, and of other regions
	available, instanceRegions := 0, make(map[string]bool)
	for _, i := range alive {
		if i.Leaving {
			continue
		}
		available++
		instanceRegions[i.Region] = true
		switch {
		case i.Hall == c.hall:
			lists[0] = append(lists[0], i)
		case i.Region == c.region:
			lists[1] = append(lists[1], i)
		default:
			lists[2] = append(lists[2], i)
		}
	}
	lists[2] = allowedInstances(lists[2], c.allowedRegions)
	if local := len(lists[0]) + len(lists[1]); c.region != "" && local >= minLocalInstances && local*len(instanceRegions)*maxRegionShortfall >= available {
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

// allowedInstances returns the instances of regions that may serve the client, or all
// instances if there are none.
func allowedInstances(remote []gossip.Instance, allowed regions.Allowed) []gossip.Instance {
	var out []gossip.Instance
	for _, i := range remote {
		if allowed.Allows(i.Region) {
			out = append(out, i)
		}
	}
	if len(out) == 0 {
		return remote
	}
	return out
}

// A region's clients get only the addresses of its own instances while it has at least
// minLocalInstances of them and at least 1/maxRegionShortfall of the regions' average:
// with fewer, each of these would get three times its usual load.
const (
	minLocalInstances  = 3
	maxRegionShortfall = 3
)
