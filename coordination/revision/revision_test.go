package revision

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestOffer(t *testing.T) {
	is := is.New(t)
	var f InForce
	is.Equal(f.Offer(Config{Revision: 2, PlanID: "b"}), Adopted)
	is.Equal(f.Offer(Config{Revision: 2, PlanID: "b"}), Same)
	is.Equal(f.Offer(Config{Revision: 2, PlanID: "x"}), Conflict)
	is.Equal(f.Offer(Config{Revision: 1, PlanID: "a"}), Older)
	is.Equal(f.Config().PlanID, "b")
}

// Processes that restart and receive revisions late, twice, out of order and from stale
// sources never go back to a lower revision, and agree once all have received the
// highest.
func TestNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		accepted := []Config{{}}
		nodes := make([]InForce, rapid.IntRange(1, 5).Draw(t, "nodes"))
		node := func(t *rapid.T) *InForce { return &nodes[rapid.IntRange(0, len(nodes)-1).Draw(t, "node")] }
		highest := make(map[*InForce]uint64)
		t.Repeat(map[string]func(*rapid.T){
			"confirm": func(t *rapid.T) {
				n := uint64(len(accepted))
				accepted = append(accepted, Config{Revision: n, PlanID: fmt.Sprint("p", n)})
			},
			"hear": func(t *rapid.T) {
				node(t).Offer(accepted[rapid.IntRange(0, len(accepted)-1).Draw(t, "which")])
			},
			"pull": func(t *rapid.T) { node(t).Offer(node(t).Config()) },
			"restart": func(t *rapid.T) {
				n := node(t)
				*n = InForce{}
				highest[n] = 0 // a new process has no history
			},
			"": func(t *rapid.T) {
				for i := range nodes {
					n := &nodes[i]
					if n.Config().Revision < highest[n] {
						t.Fatalf("node %d is at revision %d after %d", i, n.Config().Revision, highest[n])
					}
					highest[n] = n.Config().Revision
				}
			},
		})
		for i := range nodes {
			nodes[i].Offer(accepted[len(accepted)-1])
			if nodes[i].Config().Revision != accepted[len(accepted)-1].Revision {
				t.Fatalf("node %d stays at revision %d", i, nodes[i].Config().Revision)
			}
		}
	})
}
