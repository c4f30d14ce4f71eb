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

// Versions arrive from the store and from peers concurrently, in any order, late, twice or
// invalid. The version in force must never decrease and must end as the highest valid one.
func TestConfigVersionNeverDecreases(t *testing.T) {
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
				n.applyConfiguration([]byte(text), from)
				inForce := n.configVersion()
				if inForce < last || !broken[i] && inForce < uint64(versions[i]) {
					t.Errorf("%s offers %d, in force %d then %d", from, versions[i], last, inForce)
				}
				if snap := n.snapshot.Load(); snap.config != nil && snap.config.Version < last {
					t.Errorf("requests see %d after %d", snap.config.Version, last)
				}
				last = inForce
			}
		}
		var wait sync.WaitGroup
		wait.Go(func() { offer("store", 1) })
		wait.Go(func() { offer("peer", 2) })
		wait.Wait()
	})
}

func TestOlderConfigurationIsIgnored(t *testing.T) {
	is := is.New(t)
	n := New(&platform.Settings{Name: "n", StoreAddress: "127.0.0.1:1"}, hclog.NewNullLogger())
	n.applyConfiguration([]byte(`{"version":7,"routes":[],"services":[]}`), "store")
	n.applyConfiguration([]byte(`{"version":3,"routes":[],"services":[]}`), "peer")
	is.Equal(n.configVersion(), uint64(7))
	is.Equal(n.members.Self().ConfigVersion, uint64(7))
}
