package node

import (
	"context"
	"errors"
	"math"
	"net"
	"testing"
	"time"

	hclog "github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
	metrics "github.com/rcrowley/go-metrics"

	"quinceroad/coordination/pace"
	"quinceroad/platform"
	"quinceroad/protocol/pb"
	"quinceroad/state/catalog"
)

// Peers forward limits to each other. A limit that encoding changes slightly would count as
// updated each time it came back, and be announced forever.
func TestAnEchoedLimitIsUnchanged(t *testing.T) {
	is := is.New(t)
	n := New(&platform.Settings{Name: "n1", Hall: "h1"}, hclog.NewNullLogger())
	report := pace.Report{Incarnation: "r", Limit: pace.Limit{PerSecond: 1.2, Stated: true}}
	n.recordLimit(report, "peer")
	n.recordPeerLimits("peer", n.limitUpdates())
	n.advisories.withRateLimits(func(tracker *pace.Tracker) { is.Equal(tracker.Limit("r"), report.Limit) })
}

// Invalid limits from a peer must neither crash the instance nor limit a replica.
func TestInvalidLimitMessagesAreIgnored(t *testing.T) {
	is := is.New(t)
	n := New(&platform.Settings{Name: "n1", Hall: "h1"}, hclog.NewNullLogger())
	long := string(make([]byte, 10_000))
	n.recordPeerLimits("peer", []*pb.ReplicaLimit{
		nil, {}, {Id: long, PerSecond: 1}, {Id: "a", PerSecond: -1}, {Id: "b", PerSecond: math.NaN()}, {Id: "c", PerSecond: math.Inf(1)}, {Id: "d", Ended: true},
	})
	is.True(!n.advisories.hasLimits.Load())
	for _, first := range [][]byte{nil, {0xff}, []byte("no message")} {
		is.True(n.answerGrantRequest(first, "peer").Elsewhere)
	}
}

// The gauge of limited replicas returns to zero when the last limit is removed.
func TestLimitedReplicasGaugeFallsToZero(t *testing.T) {
	is := is.New(t)
	n := New(&platform.Settings{Name: "n1", Hall: "h1"}, hclog.NewNullLogger())
	n.replicas.changeLog.Replace(0, map[string][]byte{"r": replicaEntry(t, &catalog.Replica{Service: "s", Address: "10.1.1.1:1", Hall: "h1", Slots: 1})}, pointAt(1))
	n.publishSnapshot()
	gauge := func() int64 { return metrics.GetOrRegisterGauge("node.replicas_limited.s", n.registry).Value() }
	n.recordLimit(pace.Report{Incarnation: "r", Limit: pace.Limit{PerSecond: 1, Stated: true}}, "peer")
	n.sweepLimits()
	is.Equal(gauge(), int64(1))
	n.recordLimit(pace.Report{Incarnation: "r"}, "peer")
	n.sweepLimits()
	is.Equal(gauge(), int64(0))
}

// The connection to a grantor that is partitioned is open but silent. A request for a grant
// fails after its own short timeout, not after the link's timeout of seconds.
func TestRequestToAPartitionedGrantorTimesOutSoon(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	n := New(&platform.Settings{Name: "n1", Hall: "h1", IP: "127.0.0.1"}, hclog.NewNullLogger())
	n.recordLimit(pace.Report{Incarnation: "r", Limit: pace.Limit{PerSecond: 5, Stated: true}}, "peer")
	began := time.Now()
	_, err = n.requestRemoteGrant(context.Background(), listener.Addr().String(), "r")
	t.Logf("after %v", time.Since(began))
	is.True(errors.Is(err, context.DeadlineExceeded))
}
