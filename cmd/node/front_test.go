package node

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"

	"quinceroad/coordination/gossip"
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
			alive = append(alive, gossip.Instance{Name: name, Hall: hall, Front: name, Leaving: i == 7})
		}
	}
	told := make(map[string]int)
	for c := range callers {
		caller := fmt.Sprint("10.0.0.", c)
		got := addresses(alive, "a", caller)
		is.Equal(len(got), platform.MaxAddresses)
		is.Equal(got, addresses(alive, "a", caller))
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
	is.Equal(len(addresses(few, "a", "x")), 18)
	is.True(slices.Equal(addresses(few, "a", "x"), addresses(few, "a", "y"))) // all fit
	mixed := addresses(append(slices.Clone(few), alive[100:]...), "c", "x")
	is.Equal(len(mixed), platform.MaxAddresses)
}
