package node

import (
	"fmt"
	"sync"
	"testing"

	hclog "github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"quinceroad/platform"
)

// Whatever versions come in whatever order, from the store and peers at once,
// late, twice or broken, the one in force never falls and ends as the highest.
func TestTheVersionInForceNeverFalls(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := New(&platform.Settings{Name: "n", StoreAddress: "127.0.0.1:1"}, hclog.NewNullLogger())
		versions := rapid.SliceOfN(rapid.IntRange(1, 30), 1, 60).Draw(t, "versions")
		broken := rapid.SliceOfN(rapid.Bool(), len(versions), len(versions)).Draw(t, "broken")
		offer := func(from string, step int) {
			last := uint64(0)
			for i := 0; i < len(versions); i += step {
				text := fmt.Sprintf(`{"version":%d,"routes":[],"services":[]}`, versions[i])
				if broken[i] {
					text = text[:len(text)/2]
				}
				n.offerConfiguration([]byte(text), from)
				now := n.configVersion()
				if now < last || !broken[i] && now < uint64(versions[i]) {
					t.Errorf("%s offers %d, in force %d then %d", from, versions[i], last, now)
				}
				if w := n.world.Load(); w.config != nil && w.config.Version < last {
					t.Errorf("requests see %d after %d", w.config.Version, last)
				}
				last = now
			}
		}
		var wait sync.WaitGroup
		wait.Go(func() { offer("store", 1) })
		wait.Go(func() { offer("peer", 2) })
		wait.Wait()
	})
}

func TestAnOlderConfigurationIsNotTaken(t *testing.T) {
	is := is.New(t)
	n := New(&platform.Settings{Name: "n", StoreAddress: "127.0.0.1:1"}, hclog.NewNullLogger())
	n.offerConfiguration([]byte(`{"version":7,"routes":[],"services":[]}`), "store")
	n.offerConfiguration([]byte(`{"version":3,"routes":[],"services":[]}`), "peer")
	is.Equal(n.configVersion(), uint64(7))
	is.Equal(n.members.Self().ConfigVersion, uint64(7))
}
