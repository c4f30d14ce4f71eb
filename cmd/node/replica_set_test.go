package node

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"quinceroad/state/catalog"
)

// A drain holds for its incarnation, and the memory of drains is bounded by those of a time.
func TestListedDrainsAreHeldForATime(t *testing.T) {
	is := is.New(t)
	s := newReplicaSet()
	for i := range 1000 {
		r := &catalog.Replica{ID: fmt.Sprint("old-", i), Draining: true}
		is.True(s.holdDrain(0, r))
		r.Draining = false // as in a copy of the store
		is.True(s.holdDrain(time.Second, r))
	}
	is.True(!s.holdDrain(time.Second, &catalog.Replica{ID: "other"}))
	s.holdDrain(listedDrainTTL, &catalog.Replica{ID: "new", Draining: true})
	s.pruneListedDrains(listedDrainTTL + time.Second)
	is.Equal(len(s.listedDrains), 1)
	is.True(s.holdDrain(listedDrainTTL+time.Second, &catalog.Replica{ID: "new"}))
}
