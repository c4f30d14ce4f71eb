package node

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"quinceroad/coordination/quarantine"
	"quinceroad/protocol/pb"
)

// Without crashes the quarantine adds nothing to a heartbeat. With a hundred quarantined
// requests, a heartbeat carries a bounded number of cases, which rotate.
func TestQuarantineHeartbeatSize(t *testing.T) {
	is := is.New(t)
	n := newTwoReplicaNode()
	size := func() int { return proto.Size(&pb.Heartbeat{Quarantine: n.quarantineUpdate()}) }
	is.Equal(size(), 0)
	for f := 1; f <= 100; f++ {
		n.updateQuarantine(causePeer, func(tracker *quarantine.Tracker, now time.Duration) (out []quarantine.Change) {
			for replica := range 3 {
				out = append(out, tracker.RecordBroken(now, quarantine.Fingerprint(f), quarantine.IncarnationOf(fmt.Sprint(f, replica)))...)
				out = append(out, tracker.RecordEnd(now, quarantine.IncarnationOf(fmt.Sprint(f, replica)))...)
			}
			return out
		})
		if f == 1 {
			t.Logf("%d bytes for one", size())
			is.True(size() <= 60)
		}
	}
	initial := size()
	for range 100 {
		n.quarantineUpdate()
	}
	t.Logf("%d bytes for a hundred new ones, %d later", initial, size())
	is.True(initial <= 1000)
	is.True(size() <= 300)
}
