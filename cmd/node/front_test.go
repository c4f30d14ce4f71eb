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

// In a hall with more instances than an answer holds, each is told to its part
// of the callers, and one caller is told the same ones each time.
func TestAllInstancesOfALargeHallAreTold(t *testing.T) {
	is := is.New(t)
	const instances, callers = 100, 400
	var alive []gossip.Instance
	for i := range instances {
		for _, hall := range []string{"a", "b"} {
			name := fmt.Sprintf("%s-%03d", hall, i)
			alive = append(alive, gossip.Instance{Name: name, Hall: hall, ClientAddress: name, Leaving: i == 7})
		}
	}
	told := make(map[string]int)
	for c := range callers {
		caller := fmt.Sprint("10.0.0.", c)
		got := selectAddresses(alive, addressClient{hall: "a", name: caller})
		is.Equal(len(got), platform.MaxAddresses)
		is.Equal(got, selectAddresses(alive, addressClient{hall: "a", name: caller}))
		for _, a := range got {
			is.Equal(a[:1], "a")
			told[a]++
		}
	}
	is.Equal(len(told), instances-1) // but for the one that leaves
	for name, n := range told {
		if usual := callers * platform.MaxAddresses / (instances - 1); n < usual*3/4 || n > usual*5/4 {
			t.Errorf("%s is told %d times, usual is %d", name, n, usual)
		}
	}
	few := alive[:20]
	is.Equal(len(selectAddresses(few, addressClient{hall: "a", name: "x"})), 18)
	is.True(slices.Equal(selectAddresses(few, addressClient{hall: "a", name: "x"}), selectAddresses(few, addressClient{hall: "a", name: "y"}))) // all fit
	mixed := selectAddresses(append(slices.Clone(few), alive[100:]...), addressClient{hall: "c", name: "x"})
	is.Equal(len(mixed), platform.MaxAddresses)
}

// Clients choose by chance among what they are told, so a region's are told its
// own instances alone, until these are too few.
func TestARegionsClientsAreToldItsOwnInstancesWhileTheseServe(t *testing.T) {
	is := is.New(t)
	var alive []gossip.Instance
	for _, region := range []string{"n", "s", "w"} {
		for i := range 15 {
			name := fmt.Sprintf("%s%02d", region, i)
			alive = append(alive, gossip.Instance{Name: name, ClientAddress: name, Region: region, Hall: fmt.Sprint(region, i%2)})
		}
	}
	c := addressClient{hall: "n0", region: "n", name: "x"}
	got := selectAddresses(alive, c)
	is.Equal(len(got), 15)
	is.Equal(got[:3], []string{"n00", "n02", "n04"}) // of its hall
	for i := range alive[3:15] {
		alive[3+i].Leaving = true
	}
	is.Equal(len(selectAddresses(alive, c)), 33) // three for a region's clients are too few
	is.Equal(len(selectAddresses(alive[15:], c)), 30)
	is.Equal(len(selectAddresses(alive[15:], addressClient{hall: "s0", region: "s", name: "x"})), 15)
	is.Equal(len(selectAddresses(alive[15:], addressClient{hall: "q", name: "x"})), 30) // whom nobody can place
}

// HOME: clients of a host whose routes are bound to regions are not sent through
// others when their own region is short.
func TestFarAddressesAreThoseOfHomes(t *testing.T) {
	is := is.New(t)
	alive := []gossip.Instance{{Name: "n", ClientAddress: "n", Region: "n"}, {Name: "s", ClientAddress: "s", Region: "s"}, {Name: "w", ClientAddress: "w", Region: "w"}}
	c := addressClient{region: "n", name: "x", hall: "n0", allowedRegions: regions.Intersect([]string{"s"})}
	is.Equal(selectAddresses(alive, c), []string{"n", "s"})
	c.allowedRegions = regions.Allowed{} // one of the host's routes may be served anywhere
	is.Equal(len(selectAddresses(alive, c)), 3)
	c.allowedRegions = regions.Intersect([]string{"s"})
	is.Equal(selectAddresses(alive[2:], c), []string{"w"}) // rather there than nowhere
}
