package node

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"quinceroad/coordination/drains"
	"quinceroad/state/catalog"
	"quinceroad/transport/clock"
)

// nodeWithReplicas returns a node that lists some replicas of a service, and its clock.
func nodeWithReplicas(t *testing.T, count int) (*Node, *manualTime, []catalog.Replica) {
	t.Helper()
	n := newNodeWithReplicas(t, 0)
	source := &manualTime{}
	n.clock = clock.NewFromSource(source)
	entries := make(map[string][]byte)
	for i := range count {
		entries[fmt.Sprint("e", i)] = replicaEntry(t, &catalog.Replica{
			Service: "llm", Address: fmt.Sprintf("10.0.0.%d:80", i+1), Hall: "h", Version: "v", Slots: 1, StartMillis: 7,
		})
	}
	n.replicas.changeLog.Replace(0, entries, pointAt(101))
	n.publishSnapshot()
	return n, source, n.snapshot.Load().eligible("llm")
}

// Guards against RECOVER of the review: full replicas that closed their connections, as sound ones
// now and then do, were taken for draining ones for two minutes, so that a service was served to
// nobody.
func TestRefusalsTakeNoServiceAway(t *testing.T) {
	for count := 1; count <= 9; count++ {
		is := is.New(t)
		n, source, replicas := nodeWithReplicas(t, count)
		is.Equal(len(replicas), count)
		for i := range replicas {
			n.recordRefusalDrain(&replicas[i])
		}
		left := len(n.snapshot.Load().eligible("llm"))
		is.True(left*2 >= count)
		is.True(left < count || count == 1)
		announced, _ := n.drainUpdates()
		is.Equal(len(announced), 0) // others find out for themselves
		source.elapsed += drains.WeakTTL + time.Millisecond
		n.drainUpdates()
		is.Equal(len(n.snapshot.Load().eligible("llm")), count)
	}
}

// A replica that serves a request is not draining, whatever was inferred from a refusal; what a
// replica's own word or another one at its address shows holds on.
func TestServedRequestEndsARefusalsDrain(t *testing.T) {
	is := is.New(t)
	n, _, replicas := nodeWithReplicas(t, 4)
	n.recordRefusalDrain(&replicas[0])
	n.recordInferredDrain(replicas[1].ID, "answer")
	n.endRefusalDrain(replicas[0].ID)
	n.endRefusalDrain(replicas[1].ID)
	is.Equal(len(n.snapshot.Load().eligible("llm")), 3)
	is.True(n.replicaAcceptsWork(replicas[0].ID))
	is.True(!n.replicaAcceptsWork(replicas[1].ID))
}
