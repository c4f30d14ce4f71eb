package balancer

import (
	"math/rand/v2"
	"testing"
	"time"

	"quinceroad/coordination/regions"
	"quinceroad/state/catalog"
)

// A replica that has just reported that work takes longer there is avoided for a moment, and
// not for longer: the report is soon out of date.
func TestReportedSlowdownCountsForAMoment(t *testing.T) {
	candidates := []catalog.Replica{{ID: "a", Slots: 6}, {ID: "b", Slots: 6}}
	near := func(string) regions.Distance { return regions.SameHall }
	share := func(now time.Duration) float64 {
		b := New()
		for _, c := range candidates {
			b.Begin(c.ID)
			b.End(c.ID, 30*time.Millisecond)
		}
		b.RecordLoad(0, "a", Load{Slowdown: 3})
		b.RecordLoad(0, "b", Load{Slowdown: 1})
		random := rand.New(rand.NewPCG(1, 1))
		picked := 0
		for range 1000 {
			if b.PickReplica(now, near, candidates, random).ID == "a" {
				picked++
			}
		}
		return float64(picked) / 1000
	}
	if got := share(0); got > 0.3 {
		t.Errorf("a slow replica gets %.2f of the requests right after its report", got)
	}
	if got := share(time.Second); got < 0.4 {
		t.Errorf("it gets %.2f a second later", got)
	}
}
