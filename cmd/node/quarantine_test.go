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

// Where no replica ends, nothing is told; a hundred condemned requests cost a
// heartbeat no more than what is told in turn.
func TestWhatTheQuarantineCostsAHeartbeat(t *testing.T) {
	is := is.New(t)
	n := newTwoReplicaNode()
	size := func() int { return proto.Size(&pb.Heartbeat{Quarantine: n.quarantineNews()}) }
	is.Equal(size(), 0)
	for f := 1; f <= 100; f++ {
		n.noteQuarantine(fromPeer, func(b *quarantine.Tracker, now time.Duration) (out []quarantine.Change) {
			for life := range 3 {
				out = append(out, b.RecordBroken(now, quarantine.Fingerprint(f), quarantine.IncarnationOf(fmt.Sprint(f, life)))...)
				out = append(out, b.RecordEnd(now, quarantine.IncarnationOf(fmt.Sprint(f, life)))...)
			}
			return out
		})
		if f == 1 {
			t.Logf("%d bytes for one", size())
			is.True(size() <= 60)
		}
	}
	news := size()
	for range 100 {
		n.quarantineNews()
	}
	t.Logf("%d bytes for a hundred while they are news, %d then", news, size())
	is.True(news <= 1000)
	is.True(size() <= 300)
}
