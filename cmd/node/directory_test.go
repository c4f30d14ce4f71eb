package node

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"

	"quinceroad/coordination/gossip"
	"quinceroad/coordination/regions"
	"quinceroad/platform"
)

// In a hall with more instances than an answer holds, each instance is returned to
// about the same number of callers, and a caller always gets the same ones.
func TestCallersAreSpreadOverALargeHall(t *testing.T) {
	is := is.New(t)
	const instances, callers = 100, 400
	var alive []gossip.Instance
	for i := range instances {
		for _, hall := range []string{"a", "b"} {
			name := fmt.Sprintf("%s-%03d", hall, i)
			alive = append(alive, gossip.Instance{Name: name, Hall: hall, ClientAddress: name, Leaving: i == 7})
		}
	}
	counts := make(map[string]int)
	for c := range callers {
		caller := fmt.Sprint("10.0.0.", c)
		got := selectAddresses(gossip.NewLive(alive), addressClient{hall: "a", name: caller})
		is.Equal(len(got), platform.MaxAddresses)
		is.Equal(got, selectAddresses(gossip.NewLive(alive), addressClient{hall: "a", name: caller}))
		for _, a := range got {
			is.Equal(a[:1], "a")
			counts[a]++
		}
	}
	is.Equal(len(counts), instances-1) // except the one that is leaving
	for name, n := range counts {
		if expected := callers * platform.MaxAddresses / (instances - 1); n < expected*3/4 || n > expected*5/4 {
			t.Errorf("%s is returned %d times, want about %d", name, n, expected)
		}
	}
	few := alive[:20]
	is.Equal(len(selectAddresses(gossip.NewLive(few), addressClient{hall: "a", name: "x"})), 18)
	// All fit into an answer.
	is.True(slices.Equal(selectAddresses(gossip.NewLive(few), addressClient{hall: "a", name: "x"}), selectAddresses(gossip.NewLive(few), addressClient{hall: "a", name: "y"})))
	mixed := selectAddresses(gossip.NewLive(append(slices.Clone(few), alive[100:]...)), addressClient{hall: "c", name: "x"})
	is.Equal(len(mixed), platform.MaxAddresses)
}

// Clients choose among the returned addresses at random, so they get only instances
// of their own region unless these are too few.
func TestClientsGetInstancesOfTheirRegionFirst(t *testing.T) {
	is := is.New(t)
	var alive []gossip.Instance
	for _, region := range []string{"n", "s", "w"} {
		for i := range 15 {
			name := fmt.Sprintf("%s%02d", region, i)
			alive = append(alive, gossip.Instance{Name: name, ClientAddress: name, Region: region, Hall: fmt.Sprint(region, i%2)})
		}
	}
	c := addressClient{hall: "n0", region: "n", name: "x"}
	got := selectAddresses(gossip.NewLive(alive), c)
	is.Equal(len(got), 15)
	is.Equal(got[:3], []string{"n00", "n02", "n04"}) // instances of its hall first
	for i := range alive[3:15] {
		alive[3+i].Leaving = true
	}
	is.Equal(len(selectAddresses(gossip.NewLive(alive), c)), 33) // three instances are too few for a region's clients
	is.Equal(len(selectAddresses(gossip.NewLive(alive[15:]), c)), 30)
	is.Equal(len(selectAddresses(gossip.NewLive(alive[15:]), addressClient{hall: "s0", region: "s", name: "x"})), 15)
	is.Equal(len(selectAddresses(gossip.NewLive(alive[15:]), addressClient{hall: "q", name: "x"})), 30) // a hall of no region
}

// HOME: clients of a host whose routes are restricted to regions get addresses only in these
// regions and their own when their own region has too few instances.
func TestRemoteAddressesAreInAllowedRegions(t *testing.T) {
	is := is.New(t)
	alive := []gossip.Instance{{Name: "n", ClientAddress: "n", Region: "n"}, {Name: "s", ClientAddress: "s", Region: "s"}, {Name: "w", ClientAddress: "w", Region: "w"}}
	c := addressClient{region: "n", name: "x", hall: "n0", allowedRegions: regions.Intersect([]string{"s"})}
	is.Equal(selectAddresses(gossip.NewLive(alive), c), []string{"n", "s"})
	c.allowedRegions = regions.Allowed{} // one of the host's routes is unrestricted
	is.Equal(len(selectAddresses(gossip.NewLive(alive), c)), 3)
	c.allowedRegions = regions.Intersect([]string{"s"})
	is.Equal(selectAddresses(gossip.NewLive(alive[2:]), c), []string{"w"}) // better than no address
}
