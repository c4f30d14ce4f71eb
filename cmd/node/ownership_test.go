package node

import (
	"testing"

	"github.com/matryer/is"

	"quinceroad/coordination/cells"
	"quinceroad/coordination/gossip"
	"quinceroad/coordination/ownership"
	"quinceroad/coordination/rendezvous"
	"quinceroad/platform"
)

// Instances of different builds must compute the same owner and replicas of a cell, and the
// same key of an instance's heartbeat counters. All builds since 006aa26 compute the
// expected values below.
func TestOwnershipIsStableAcrossBuilds(t *testing.T) {
	is := is.New(t)
	is.Equal(platform.HashString("a request's id"), uint64(17239341863301912574))
	is.Equal(rendezvous.Weight("key", "n1"), uint64(17248766005804674344))
	is.Equal((&gossip.Instance{Name: "n1", Incarnation: 1234567}).Key(), uint32(4105655056))
	var alive []gossip.Instance
	for _, name := range []string{"n1", "n2", "n3", "n4"} {
		alive = append(alive, gossip.Instance{Name: name, Incarnation: 1, HeartbeatCount: 100, CPUShare: 400})
	}
	var order []string
	for _, i := range ownership.Rank(alive, 3, "") {
		order = append(order, i.Name)
	}
	is.Equal(order, []string{"n4", "n1", "n3", "n2"})
	assignment := cells.NewAssignment([]string{"a", "b", "c", "d", "e"}, 2)
	for id, expected := range map[string]int{"a": 0, "b": 0, "c": 0, "d": 1, "e": 1} {
		cell, ok := assignment.Cell(id)
		is.True(ok)
		is.Equal(cell, expected)
	}
}
