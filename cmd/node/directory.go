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
		Addresses:  selectAddresses(n.live(), c),
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
func selectAddresses(live *gossip.Live, c addressClient) []string {
	out := appendAddresses(nil, c, directoryOf(live).halls[c.hall])
	if len(out) == platform.MaxAddresses {
		return out
	}
	d := directoryOf(live)
	out = appendAddresses(out, c, d.inRegionOutside(c.region, c.hall))
	if len(out) == platform.MaxAddresses || d.isServedLocally(c) {
		return out
	}
	return appendAddresses(out, c, allowedInstances(d.outside(c.region, c.hall), c.allowedRegions))
}

// directory groups the live instances that are not leaving. It is derived from them once.
type directory struct {
	all     []*gossip.Instance
	halls   map[string][]*gossip.Instance
	regions map[string][]*gossip.Instance
}

type directoryKey struct{}

func directoryOf(live *gossip.Live) *directory {
	return live.Derive(directoryKey{}, func() any {
		d := &directory{halls: make(map[string][]*gossip.Instance), regions: make(map[string][]*gossip.Instance)}
		for i := range live.Instances {
			x := &live.Instances[i]
			if x.Leaving {
				continue
			}
			d.all = append(d.all, x)
			d.halls[x.Hall] = append(d.halls[x.Hall], x)
			d.regions[x.Region] = append(d.regions[x.Region], x)
		}
		return d
	}).(*directory)
}

// inRegionOutside returns the instances of a region in other halls than the given one.
func (d *directory) inRegionOutside(region, hall string) []*gossip.Instance {
	return outsideHall(d.regions[region], hall)
}

// outside returns the instances in other regions and other halls than the given ones.
func (d *directory) outside(region, hall string) []*gossip.Instance {
	var out []*gossip.Instance
	for _, i := range d.all {
		if i.Region != region && i.Hall != hall {
			out = append(out, i)
		}
	}
	return out
}

func outsideHall(list []*gossip.Instance, hall string) []*gossip.Instance {
	var out []*gossip.Instance
	for _, i := range list {
		if i.Hall != hall {
			out = append(out, i)
		}
	}
	return out
}

// isServedLocally reports whether the client's region has enough instances.
func (d *directory) isServedLocally(c addressClient) bool {
	local := len(d.halls[c.hall]) + len(d.inRegionOutside(c.region, c.hall))
	return c.region != "" && local >= minLocalInstances && local*len(d.regions)*maxRegionShortfall >= len(d.all)
}

// appendAddresses adds the addresses of instances up to the maximum length of an answer.
func appendAddresses(out []string, c addressClient, list []*gossip.Instance) []string {
	if left := platform.MaxAddresses - len(out); len(list) > left {
		list = highestWeights(c.name, list, left)
	}
	for _, i := range list {
		out = append(out, i.ClientAddress)
	}
	return out
}

// highestWeights returns the n instances with the highest weights for a client, the
// highest first.
func highestWeights(client string, list []*gossip.Instance, n int) []*gossip.Instance {
	type weighted struct {
		instance *gossip.Instance
		weight   uint64
	}
	order := make([]weighted, 0, len(list))
	for _, i := range list {
		order = append(order, weighted{i, rendezvous.Weight(client, i.Name)})
	}
	slices.SortFunc(order, func(a, b weighted) int { return cmp.Compare(b.weight, a.weight) })
	out := make([]*gossip.Instance, 0, n)
	for _, w := range order[:n] {
		out = append(out, w.instance)
	}
	return out
}

// allowedInstances returns the instances of regions that may serve the client, or all
// instances if there are none.
func allowedInstances(remote []*gossip.Instance, allowed regions.Allowed) []*gossip.Instance {
	var out []*gossip.Instance
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
