package balancer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"quinceroad/coordination/regions"
	"quinceroad/state/catalog"
)

// Candidates are drawn with replacement: in a small service a slow replica still gets a
// request now and then, by which its recovery is noticed. With distinct draws it would get
// none among up to three candidates, ever; in a large one the two do not differ.
func TestSlowReplicaIsStillTriedInASmallService(t *testing.T) {
	near := func(string) regions.Distance { return regions.SameHall }
	for replicas, want := range map[int]struct {
		draws       int
		least, most float64
	}{
		3: {20_000, .03, .045}, 4: {20_000, .012, .02}, 10: {20_000, .0002, .002}, 30: {20_000, 0, .0005}, 1000: {500, 0, 0},
	} {
		t.Run(fmt.Sprint(replicas), func(t *testing.T) {
			b := New()
			var all []catalog.Replica
			for i := range replicas {
				r := catalog.Replica{ID: fmt.Sprint("r", i), Slots: 6}
				all = append(all, r)
				took := 20 * time.Millisecond
				if i == 0 {
					took = 400 * time.Millisecond
				}
				b.Begin(r.ID)
				b.End(r.ID, took)
			}
			random := rand.New(rand.NewPCG(1, uint64(replicas)))
			slow := 0
			for range want.draws {
				if b.PickReplica(0, near, all, random).ID == "r0" {
					slow++
				}
			}
			if share := float64(slow) / float64(want.draws); share < want.least || share > want.most {
				t.Errorf("the slow replica got %.4f of the requests", share)
			} else {
				t.Logf("the slow replica got %.4f of the requests", share)
			}
		})
	}
}
